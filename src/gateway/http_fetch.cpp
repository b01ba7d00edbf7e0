/** @file http_fetch.cpp Plain GET calls to the store and to peers. */
#include "banyanring/gateway/http_fetch.h"

namespace banyanring::gateway {

HttpFetch::HttpFetch(boost::asio::io_context &context) : context(context), timer(context) {}

HttpFetch::~HttpFetch()
{
    if (this->connection) {
        this->connection->close();
    }
}

auto HttpFetch::get(const std::string &newAddress, const std::string &target, Duration timeout,
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
    if (this->connection && this->connection->isIdle() && this->address == newAddress) {
        this->connection->awaitResponse(this);
        this->connection->send(std::move(this->request));
        return;
    }
    if (this->connection) {
        this->connection->close();
    }
    this->address = newAddress;
    this->connection = std::make_shared<OutboundConnection>(this->context);
    this->connection->connect(newAddress, this);
}

auto HttpFetch::cancel() -> void
{
    if (this->callback) {
        ++this->call;
        this->timer.cancel();
        this->callback = nullptr;
        this->connection->close();
    }
}

auto HttpFetch::onConnected() -> void
{
    this->connection->send(std::move(this->request));
}

auto HttpFetch::onHeader(const ResponseHeader &header) -> void
{
    this->result.status = static_cast<int>(header.result_int());
}

auto HttpFetch::onBody(std::string data) -> void
{
    this->result.body.append(data);
}

auto HttpFetch::onEnd(bool reusable) -> void
{
    if (!reusable) {
        this->connection->close();
    }
    this->complete(std::move(this->result));
}

auto HttpFetch::onFailed(ConnectionFailure failure) -> void
{
    this->complete(
        {0, "", failure == ConnectionFailure::NotConnected ? "not_connected" : "broken"});
}

auto HttpFetch::complete(FetchResult outcome) -> void
{
    ++this->call;
    this->timer.cancel();
    const auto finished = std::exchange(this->callback, nullptr);
    if (finished) {
        finished(std::move(outcome));
    }
}

} // namespace banyanring::gateway
