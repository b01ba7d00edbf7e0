/** @file http_client.cpp HTTP/1.1 GET client for the store and peers. */
#include "banyanring/gateway/http_client.h"

namespace banyanring::gateway {

namespace {

/** Several times the largest page of the store and the largest mirror of a peer. */
constexpr std::size_t MaxBodyBytes = 8U << 20U;

} // namespace

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
    const auto timedRequest = ++this->requestNumber;
    this->timer.expires_after(timeout);
    this->timer.async_wait([this, timedRequest](const boost::system::error_code &error) {
        if (!error && timedRequest == this->requestNumber && this->callback) {
            this->connection->close();
            this->finish({0, "", "timeout"});
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

auto HttpClient::cancel() -> void
{
    if (this->callback) {
        ++this->requestNumber;
        this->timer.cancel();
        this->callback = nullptr;
        this->connection->close();
    }
}

auto HttpClient::onConnected() -> void
{
    this->connection->send(std::move(this->request));
}

auto HttpClient::onHeader(const ResponseHeader &header) -> void
{
    this->result.status = static_cast<int>(header.result_int());
    this->result.headers = header;
}

auto HttpClient::onBody(std::string data) -> void
{
    if (this->result.body.size() + data.size() > MaxBodyBytes) {
        this->connection->close();
        this->finish({0, "", ResponseTooLong});
        return;
    }
    this->result.body.append(data);
}

auto HttpClient::onEnd(bool reusable) -> void
{
    if (!reusable) {
        this->connection->close();
    }
    this->finish(std::move(this->result));
}

auto HttpClient::onFailed(ExchangeFailure failure) -> void
{
    this->finish({0, "", std::string(failureName(failure))});
}

auto HttpClient::finish(HttpResult finalResult) -> void
{
    ++this->requestNumber;
    this->timer.cancel();
    const auto finishedCallback = std::exchange(this->callback, nullptr);
    if (finishedCallback) {
        finishedCallback(std::move(finalResult));
    }
}

} // namespace banyanring::gateway
