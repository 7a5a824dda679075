#include "connection/http/client_connection.hpp"

#include <utility>

namespace shallotwood::connection::http
{

std::shared_ptr<client_connection>
client_connection::open(process::loop::reactor& loop,
                        const process::peer_address& to,
                        const client_options& options)
{
    auto it = std::make_shared<client_connection>(loop, to, options);
    it->start();
    return it;
}

client_connection::client_connection(process::loop::reactor& loop,
                                     const process::peer_address& to,
                                     const client_options& options)
    : byte_stream(loop, to, options.alive), options_(options)
{
}

void client_connection::start_call(const request_head& head,
                                   const framing& body,
                                   std::string_view first_bytes,
                                   std::string echo, call_events& events)
{
    events_ = &events;
    echo_ = std::move(echo);
    to_head_ = head.method == "HEAD";
    keep_alive_ = true;
    answered_ = false;
    ++calls_;
    taken_before_ = taken();
    body_chunked_ = body.how == framing::kind::chunked;
    body_sent_ =
        body.how == framing::kind::none || (body.how == framing::kind::length &&
                                            body.length == first_bytes.size());
    new_reader();
    auto text = serialize(head, body);
    if (body_chunked_ && !first_bytes.empty())
        text += chunk(first_bytes);
    else
        text += first_bytes;
    send(text);
}

void client_connection::close()
{
    events_ = nullptr;
    byte_stream::close();
}

void client_connection::send_body(std::string_view bytes, bool last)
{
    if (body_sent_ || !is_open())
        return;
    if (!bytes.empty()) {
        if (body_chunked_)
            send(chunk(bytes));
        else
            send(bytes);
    }
    if (last) {
        body_sent_ = true;
        if (body_chunked_)
            send(last_chunk);
    }
}

bool client_connection::reusable() const
{
    return is_open() && events_ == nullptr && keep_alive_ && body_sent_ &&
           unsent() == 0;
}

void client_connection::new_reader()
{
    dropping_ = false;
    bad_status_.reset();
    message_ended_ = false;
    reader_events& events = *this;
    reader_ =
        std::make_unique<response_reader>(options_.message, to_head_, events);
}

void client_connection::on_connected()
{
    was_connected_ = true;
}

void client_connection::on_bytes(std::string_view bytes)
{
    if (events_ == nullptr) {
        close();
        return;
    }
    std::string all;
    if (!pending_.empty()) {
        all = std::move(pending_) + std::string(bytes);
        pending_.clear();
        bytes = all;
    }
    while (!bytes.empty() && events_ != nullptr && is_open()) {
        read_error ec = read_error::none;
        auto n = reader_->put(bytes, ec);
        bytes.remove_prefix(n);
        if (ec != read_error::none || bad_status_) {
            fail(true);
            return;
        }
        // An event has closed the connection.
        if (events_ == nullptr)
            return;
        if (message_ended_ && !dropping_) {
            end_call(!bytes.empty());
            return;
        }
        if (message_ended_)
            new_reader();
        else if (n == 0)
            break;
    }
    if (is_open() && events_ != nullptr)
        pending_.assign(bytes);
}

void client_connection::end_call(bool more_bytes)
{
    auto* events = std::exchange(events_, nullptr);
    // Bytes after a complete answer belong to no request.
    if (more_bytes || !keep_alive_ || !body_sent_)
        close();
    idle_since_ = loop().now();
    if (events != nullptr)
        events->on_response_end();
}

void client_connection::on_head(const message_info& info)
{
    auto& head = reader_->head();
    if (!is_interim(head.status) && !is_final(head.status))
        bad_status_ = head.status;
    if (!is_final(head.status)) {
        dropping_ = true;
        return;
    }
    keep_alive_ = info.keep_alive;
    if (!options_.echo_header.empty()) {
        const auto* echo = head.headers.find(options_.echo_header);
        dropping_ = echo != nullptr && *echo != echo_;
    }
    if (dropping_)
        return;
    answered_ = true;
    note_keep_alive(head.headers);
    events_->on_response(std::move(head), info);
}

void client_connection::on_body(std::string_view bytes)
{
    if (!dropping_ && events_ != nullptr)
        events_->on_response_body(bytes);
}

void client_connection::on_message_end()
{
    message_ended_ = true;
}

void client_connection::on_drained()
{
    if (events_ != nullptr)
        events_->on_request_drained();
}

void client_connection::on_end(net::stream_end how)
{
    bool idle = events_ == nullptr;
    if (idle && keep_alive_ && lost_)
        lost_();
    if (idle)
        return;
    bool whole = how == net::stream_end::finished && answered_ && !dropping_ &&
                 reader_->put_end();
    if (whole)
        end_call(false);
    else
        lose();
}

void client_connection::lose()
{
    if (was_connected_ && lost_)
        lost_();
    fail(false);
}

void client_connection::fail(bool malformed)
{
    auto* events = std::exchange(events_, nullptr);
    close();
    if (events == nullptr)
        return;
    call_failure why;
    why.refused = !was_connected_;
    why.unsent = !request_begun();
    why.malformed = malformed;
    why.bad_status = bad_status_;
    why.unanswered = !answered_ && !reader_->started();
    events->on_failure(why);
}

void client_connection::note_keep_alive(const header_list& headers)
{
    const auto* text = headers.find("Keep-Alive");
    if (text == nullptr)
        return;
    constexpr std::string_view name = "timeout=";
    auto at = text->find(name);
    if (at == std::string::npos)
        return;
    auto value = std::string_view(*text).substr(at + name.size());
    value = value.substr(0, value.find_first_not_of("0123456789"));
    if (auto seconds = parse_number(value))
        keep_ = std::chrono::seconds(*seconds);
}

} // namespace shallotwood::connection::http
