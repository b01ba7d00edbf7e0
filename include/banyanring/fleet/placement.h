/** @file placement.h Chooses the backend server for a request. */
#pragma once

#include "banyanring/fleet/server_book.h"

#include <functional>
#include <span>

namespace banyanring::fleet {

/** What a request will cost a server, as far as it tells. */
struct RequestShape
{
    bool engine = false; ///< For a model engine.
    double promptWork = 0; ///< Work of reading the prompt, in tokens of a short one.
    double outputTokens = 0; ///< Output tokens that its route usually takes.
    double longestOutput = 0; ///< Output tokens that it may take, as far as its caller tells.
    double targetMs = 0; ///< Time left for the first byte to be on time; 0 if it is late already.
    double eventTargetMs = 0; ///< Longest pause per output token that is on time; 0 for no limit.
    double timeLeftMs = 0; ///< Time until its final answer is due; 0 for no limit.
    std::uint32_t node = 0; ///< Hash of the placing node: nodes differ in what they prefer.
};

/**
 * Gives the work of reading a prompt. Attention grows with the square of the length.
 * @param tokens Prompt tokens.
 * @return Work in tokens of a short prompt.
 */
auto promptWork(double tokens) -> double;

/** A choice, or why there is none. */
struct Choice
{
    ServerPtr server; ///< Null if no server can take the request now.
    bool poor = false; ///< The server would be late, or is set aside.
};

/** Decides whether a cold server may get a request from this node now. */
using ColdGate = std::function<bool(const Server &)>;

/**
 * Chooses the server with the least expected cost among those with a free slot.
 * @param servers Servers of the service.
 * @param shape The request.
 * @param usable Whether a server may get work at all.
 * @param coldGate Whether a cold server may get one more request.
 * @param now The present.
 * @return The choice.
 */
auto choosePlacement(std::span<const ServerPtr> servers, const RequestShape &shape,
                     const std::function<bool(const Server &)> &usable, const ColdGate &coldGate,
                     Instant now) -> Choice;

/**
 * Learns from a whole answer.
 * @param server The server.
 * @param shape The request.
 * @param workAhead Prompt work that waited at the server when it was sent, its own included.
 * @param firstByte Time from sending to the first byte of the answer.
 * @param rest Time from there to the end.
 * @param outputTokens Output tokens that came after the first byte.
 */
auto learnPace(Server &server, const RequestShape &shape, double workAhead, Duration firstByte,
               Duration rest, double outputTokens) -> void;

/**
 * Expects the time to the first event of a request on a server.
 * @param server The server.
 * @param shape The request.
 * @return Milliseconds; a cautious default while the server is unknown.
 */
auto expectedFirstMs(const Server &server, const RequestShape &shape) -> double;

} // namespace banyanring::fleet
