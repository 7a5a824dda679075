#include "connection/http/fetch.hpp"

namespace shallotwood::connection::http
{

namespace
{

// Newest idle connection that a call uses.
constexpr process::duration newest_idle = std::chrono::seconds(4);

} // namespace

fetch::fetch(process::loop::reactor& loop, client_pool& pool, handler done)
    : loop_(loop), pool_(pool), done_(std::move(done))
{
}

fetch_ptr fetch::start(process::loop::reactor& loop, client_pool& pool,
                       const request_head& head, const std::string& body,
                       process::duration limit, handler done)
{
    auto it = std::make_shared<fetch>(loop, pool, std::move(done));
    it->self_ = it;
    it->connection_ = pool.take(newest_idle);
    it->timer_ = loop.call_after(limit, [&call = *it] {
        call.connection_->close();
        call.finish(fetch_failure{});
    });
    framing how;
    if (!body.empty())
        how = {framing::kind::length, body.size()};
    it->connection_->start_call(head, how, body, {}, *it);
    return it;
}

void fetch::cancel()
{
    auto self = std::move(self_);
    if (!self)
        return;
    loop_.cancel(timer_);
    connection_->close();
    done_ = {};
}

void fetch::on_response(response_head&& head, const message_info&)
{
    answer_.status = head.status;
    answer_.headers = std::move(head.headers);
}

void fetch::on_response_body(std::string_view bytes)
{
    if (answer_.body.size() + bytes.size() > max_fetched_bytes) {
        connection_->close();
        finish(fetch_failure{});
        return;
    }
    answer_.body.append(bytes);
}

void fetch::on_response_end()
{
    pool_.give_back(connection_);
    finish(std::move(answer_));
}

void fetch::on_failure(const call_failure& why)
{
    finish(fetch_failure{!why.unsent});
}

void fetch::finish(fetch_result result)
{
    auto self = std::move(self_);
    if (!self)
        return;
    loop_.cancel(timer_);
    if (auto done = std::move(done_))
        done(std::move(result));
}

} // namespace shallotwood::connection::http
