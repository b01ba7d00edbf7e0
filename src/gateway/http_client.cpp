/** @file http_client.cpp HTTP/1.1 GET client for the store and peers. */
#include "banyanring/gateway/http_client.h"

namespace banyanring::gateway {

HttpClient::HttpClient(boost::asio::io_context &context) : context(context), timer(context) {}

HttpClient::~HttpClient()
{
    if (this->connection) {
        this->connection->close();
    }
}

auto HttpClient::get(const std::string &newAddress, const std::string &target, Duration timeout,
                     Callback newCallback) -> void
{
    this->callback = std::move(newCallback);
    this->result = {};
    this->request = "GET " + target + " HTTP/1.1\r\nHost: " + newAddress + "\r\n\r\n";
    const auto number = ++this->call;
    this->timer.expires_after(timeout);
    this->timer.async_wait([this, number](const boost::system::error_code &error) {
        if (!error && number == this->call && this->callback) {
            this->connection->close();
            this->complete({0, "", "timeout"});
        }
    });
    if (this->connection && this->connection->idle() && this->address == newAddress) {
        this->connection->awaitAnswer(this);
        this->connection->send(std::move(this->request));
        return;
    }
    if (this->connection) {
        this->connection->close();
    }
    this->address = newAddress;
    this->connection = std::make_shared<OutboundConnection>(this->context);
    this->connection->open(newAddress, this);
}

auto HttpClient::cancel() -> void
{
    if (this->callback) {
        ++this->call;
        this->timer.cancel();
        this->callback = nullptr;
        this->connection->close();
    }
}

auto HttpClient::onOpen() -> void
{
    this->connection->send(std::move(this->request));
}

auto HttpClient::onHead(const AnswerHeader &header) -> void
{
    this->result.status = static_cast<int>(header.result_int());
}

auto HttpClient::onBody(std::string data) -> void
{
    this->result.body.append(data);
}

auto HttpClient::onEnd(bool reusable) -> void
{
    if (!reusable) {
        this->connection->close();
    }
    this->complete(std::move(this->result));
}

auto HttpClient::onFailed(LinkFailure failure) -> void
{
    this->complete({0, "", failure == LinkFailure::NotConnected ? "not_connected" : "broken"});
}

auto HttpClient::complete(HttpResult outcome) -> void
{
    ++this->call;
    this->timer.cancel();
    const auto finished = std::exchange(this->callback, nullptr);
    if (finished) {
        finished(std::move(outcome));
    }
}

} // namespace banyanring::gateway
