/** @file raw_server.h A server that sends raw bytes, and a recorder of the events of an exchange.
 */
#pragma once

#include "banyanring/gateway/scheduler_ports.h"
#include "loopback.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <vector>

namespace banyanring::test {

/** A server that sends raw bytes given by the test after the header of each request. */
class RawServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /** What happens to a connection after a response. */
    enum class Ending : std::uint8_t {
        KeepOpen, ///< The next request is read.
        Close, ///< Closed.
        CloseUnread, ///< Closed once there are unread bytes, which makes the system reset it.
        Reset, ///< Reset.
        FinishSending, ///< No more is sent; what the peer sends is read until it closes.
        FinishSendingAndReset, ///< No more is sent; reset a while later.
    };

    /**
     * @param context Runs the I/O handlers.
     * @param receiveBufferBytes Bytes that a client can send beyond those that are read; unset for
     * the default of the operating system, which is several megabytes.
     */
    explicit RawServer(boost::asio::io_context &context,
                       std::optional<int> receiveBufferBytes = std::nullopt)
        : acceptor(context)
    {
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address_v4(Loopback),
                                                      0);
        this->acceptor.open(endpoint.protocol());
        if (receiveBufferBytes) {
            this->acceptor.set_option(
                boost::asio::socket_base::receive_buffer_size(*receiveBufferBytes));
        }
        this->acceptor.bind(endpoint);
        this->acceptor.listen();
        this->accept();
    }

    auto address() const -> std::string
    {
        return std::string(Loopback) + ":" + std::to_string(this->acceptor.local_endpoint().port());
    }

    std::vector<std::string> responses; ///< Bytes to send for each request.
    std::size_t pieceBytes = 0; ///< Bytes that are sent at a time; 0 for all at once.
    Ending ending = Ending::KeepOpen;
    Duration endingDelay{}; ///< Time between a response and the ending.
    std::string endlessBytes; ///< Sent again and again after a response, until the caller closes.
    std::size_t endlessBytesSent = 0;
    int connections = 0;
    int requests = 0;

private:
    static constexpr Duration PieceDelay = std::chrono::milliseconds(1); ///< Between pieces.
    /** Time in which the peer notices that no more is sent. */
    static constexpr Duration FinishedDelay = std::chrono::milliseconds(50);

    auto accept() -> void
    {
        this->acceptor.async_accept([this](const boost::system::error_code &error, Socket socket) {
            if (!error) {
                ++this->connections;
                this->read(std::make_shared<Socket>(std::move(socket)));
                this->accept();
            }
        });
    }

    auto read(const std::shared_ptr<Socket> &socket) -> void
    {
        auto data = std::make_shared<std::string>();
        boost::asio::async_read_until(
            *socket, boost::asio::dynamic_buffer(*data), "\r\n\r\n",
            [this, socket, data](const boost::system::error_code &error, std::size_t) {
                if (error || this->responses.empty()) {
                    return;
                }
                ++this->requests;
                auto response = std::move(this->responses.front());
                this->responses.erase(this->responses.begin());
                this->send(socket, std::move(response));
            });
    }

    /** Sends bytes, in pieces with pauses if the test asks for it, and what follows them. */
    auto send(const std::shared_ptr<Socket> &socket, std::string bytes) -> void
    {
        const auto count = this->pieceBytes == 0 ? bytes.size() : this->pieceBytes;
        boost::system::error_code error; // The peer may have closed the connection.
        boost::asio::write(*socket, boost::asio::buffer(bytes.substr(0, count)), error);
        if (error) {
            return;
        }
        if (count < bytes.size()) {
            this->runAfter(PieceDelay, socket, [this, socket, rest = bytes.substr(count)] {
                this->send(socket, rest);
            });
            return;
        }
        if (!this->endlessBytes.empty()) {
            this->sendEndless(socket);
            return;
        }
        this->runAfter(this->endingDelay, socket, [this, socket] { this->end(socket); });
    }

    auto end(const std::shared_ptr<Socket> &socket) -> void
    {
        switch (this->ending) {
        case Ending::KeepOpen:
            this->read(socket);
            return;
        case Ending::Close:
            socket->close();
            return;
        case Ending::CloseUnread:
            this->closeUnread(socket);
            return;
        case Ending::Reset:
            reset(*socket);
            return;
        case Ending::FinishSending:
            finishSending(*socket);
            this->discard(socket);
            return;
        case Ending::FinishSendingAndReset:
            finishSending(*socket);
            this->runAfter(FinishedDelay, socket, [socket] { reset(*socket); });
            return;
        }
    }

    auto closeUnread(const std::shared_ptr<Socket> &socket) -> void
    {
        boost::system::error_code error;
        if (socket->available(error) > 0 || error) {
            socket->close(error);
            return;
        }
        this->runAfter(PieceDelay, socket, [this, socket] { this->closeUnread(socket); });
    }

    static auto finishSending(Socket &socket) -> void
    {
        boost::system::error_code ignored; // The peer may have reset the connection.
        socket.shutdown(Socket::shutdown_send, ignored);
    }

    static auto reset(Socket &socket) -> void
    {
        boost::system::error_code ignored; // As above.
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    /** Runs an action later; at once without a delay. */
    template <typename Action>
    auto runAfter(Duration delay, const std::shared_ptr<Socket> &socket, Action action) -> void
    {
        if (delay == Duration(0)) {
            action();
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(socket->get_executor(), delay);
        timer->async_wait([timer, action](const boost::system::error_code &) { action(); });
    }

    /** Reads until the peer closes. */
    auto discard(const std::shared_ptr<Socket> &socket) -> void
    {
        auto data = std::make_shared<std::vector<char>>(65536);
        socket->async_read_some(
            boost::asio::buffer(*data),
            [this, socket, data](const boost::system::error_code &error, std::size_t) {
                if (!error) {
                    this->discard(socket);
                }
            });
    }

    auto sendEndless(const std::shared_ptr<Socket> &socket) -> void
    {
        boost::asio::async_write(
            *socket, boost::asio::buffer(this->endlessBytes),
            [this, socket](const boost::system::error_code &error, std::size_t count) {
                this->endlessBytesSent += count;
                if (!error) {
                    this->sendEndless(socket);
                }
            });
    }

    boost::asio::ip::tcp::acceptor acceptor;
};

/** Records the events of an exchange. */
class ExchangeRecorder : public gateway::ExchangeObserver
{
public:
    auto onSent() -> void override {}
    auto onResponseHeader(const gateway::ServerResponse &response) -> void override
    {
        this->status = response.status;
        this->notExecuted = response.notExecuted;
        this->endsWithConnection = response.endsWithConnection;
    }
    auto onResponseData(std::string_view data) -> void override
    {
        this->body.append(data);
        if (this->onData) {
            this->onData();
        }
    }
    auto onResponseEnd() -> void override
    {
        this->ended = true;
    }
    auto onExchangeFailed(gateway::ExchangeFailure newFailure) -> void override
    {
        this->failure = newFailure;
    }
    auto hasEnded() const -> bool
    {
        return this->ended || this->failure.has_value();
    }

    int status = 0;
    bool notExecuted = false;
    bool endsWithConnection = false;
    std::string body;
    bool ended = false;
    std::optional<gateway::ExchangeFailure> failure;
    std::function<void()> onData; ///< Called for each part of the body.
};

} // namespace banyanring::test
