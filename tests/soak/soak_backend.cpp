#include "soak/soak_backend.hpp"

#include "process/address.hpp"
#include "process/json_text.hpp"

namespace shallotwood::soak
{

namespace
{

using test::header_of;

constexpr process::duration announce_period = std::chrono::milliseconds(400);
constexpr process::duration announce_limit = std::chrono::seconds(1);

// Requests run for up to this many milliseconds.
constexpr std::uint64_t most_work_ms = 40;

constexpr int slots = 20;

// After this time no request reaches a server whose leaving was acknowledged.
// The platform allows 2 s; the rest is for what this process reads late.
constexpr process::duration drain_limit = std::chrono::seconds(3);

std::unique_ptr<test::scripted_server>
open_server(process::loop::reactor& loop,
            test::scripted_connection::handler handle)
{
    return std::make_unique<test::scripted_server>(
        loop, std::move(handle), test::answer_after::head_of_long_body);
}

constexpr process::duration linger = std::chrono::milliseconds(100);

// `status` as it stands in the status line; `fields` are further lines.
std::string answer_head(const std::string& id, const std::string& status,
                        const std::string& fields)
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id +
           "\r\nX-Server-Seal: seal\r\n" + fields + "\r\n";
}

std::string length_field(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

const std::string chunked_field = "Transfer-Encoding: chunked\r\n";

} // namespace

std::string body_for(const std::string& request_id)
{
    std::string text = "whole " + request_id + ' ';
    auto size = 200 + std::hash<std::string>()(request_id) % 3000;
    while (text.size() < size)
        text += request_id;
    return text;
}

soak_backend::soak_backend(process::loop::reactor& loop,
                           process::random_source& random, ledger& seen,
                           std::string service,
                           const process::peer_address& node)
    : loop_(loop), random_(random), seen_(seen), service_(std::move(service)),
      node_(node), line_(loop, {"127.0.0.1", 1}), pool_(loop, {})
{
    pool_.set_address(node_);
    restart();
    announce();
}

soak_backend::~soak_backend()
{
    loop_.cancel(timer_);
    loop_.cancel(late_timer_);
    for (const auto& it : {beat_, late_beat_})
        if (it)
            it->cancel();
}

void soak_backend::crash()
{
    server_->stop();
    server_.reset();
    line_.reset_open();
    line_.set_target({"127.0.0.1", 1});
}

bool soak_backend::restart()
{
    if (server_)
        return false;
    server_ = open_server(
        loop_, [this](test::scripted_connection& from, const std::string& head,
                      const std::string&) { serve(from, head); });
    line_.set_target(server_->address());
    // Two starts within a millisecond would look like one.
    born_ = std::max(born_ + 1, g_get_real_time() / 1000);
    sequence_ = 0;
    leaving_.reset();
    left_at_.reset();
    cold_arrivals_.clear();
    if (starts_++ > 0)
        cold_until_ = loop_.now() + cold.warmup;
    id_ = "i-" + node_.host + '-' + std::to_string(born_);
    return true;
}

void soak_backend::start_anew()
{
    if (server_)
        crash();
    restart();
}

Json::Value soak_backend::make_beat()
{
    Json::Value beat;
    beat["address"] = process::to_text(line_.address());
    beat["born"] = Json::Int64(born_);
    beat["info"]["service"] = service_;
    beat["info"]["concurrency"] = slots;
    beat["status"]["state"] = leaving_ ? "draining" : "ready";
    beat["status"]["sequence"] = Json::UInt64(++sequence_);
    if (auto left = cold_until_ - loop_.now(); left.count() > 0)
        beat["status"]["warmup_left_s"] =
            std::chrono::duration<double>(left).count();
    return beat;
}

connection::http::fetch_ptr soak_backend::post(const std::string& path,
                                               const std::string& body,
                                               std::function<void(bool)> done)
{
    connection::http::request_head head;
    head.method = "POST";
    head.target = "/shallotwood/Instances." + path + '/' + id_;
    head.headers.add("Host", "node");
    return connection::http::fetch::start(
        loop_, pool_, head, body, announce_limit,
        [done = std::move(done)](const connection::http::fetch_result& it) {
            const auto* answer = std::get_if<connection::http::fetched>(&it);
            done(answer != nullptr && answer->status == 200);
        });
}

void soak_backend::announce()
{
    bool deregisters = leaving_ && *leaving_ != leaving::drains;
    if (server_ && !beat_ && !(deregisters && left_at_)) {
        auto body = make_beat();
        if (deregisters) {
            body = Json::Value();
            body["born"] = Json::Int64(born_);
        }
        auto text = leaving_ == leaving::deregisters_unnamed
                        ? std::string()
                        : process::write_json(body);
        beat_ = post(
            deregisters ? "Deregister" : "Heartbeat", text,
            [this, leaves = leaving_.has_value(), id = id_](bool acknowledged) {
                beat_.reset();
                if (leaves && acknowledged && id == id_ && !left_at_)
                    left_at_ = loop_.now();
            });
    }
    timer_ = loop_.call_after(announce_period, [this] { announce(); });
}

void soak_backend::leave(leaving how, process::duration late_by)
{
    if (!server_ || leaving_)
        return;
    auto late = process::write_json(make_beat());
    leaving_ = how;
    loop_.cancel(timer_);
    announce();
    loop_.cancel(late_timer_);
    late_timer_ = loop_.call_after(late_by, [this, late, id = id_] {
        if (id == id_ && !late_beat_)
            late_beat_ =
                post("Heartbeat", late, [this](bool) { late_beat_.reset(); });
    });
}

void soak_backend::count_arrival()
{
    auto now = loop_.now();
    if (now >= cold_until_)
        return;
    while (!cold_arrivals_.empty() &&
           now - cold_arrivals_.front() >= std::chrono::seconds(1))
        cold_arrivals_.pop_front();
    cold_arrivals_.push_back(now);
    if (static_cast<double>(cold_arrivals_.size()) >
        cold.rate * cold.excess + cold.slack)
        seen_.violation("a cold server got more than its bound: " + id_);
}

void soak_backend::serve(test::scripted_connection& from,
                         const std::string& head)
{
    auto id = header_of(head, "X-Request-Id");
    auto refuse = [&](const char* status, const char* more) {
        from.send(std::string("HTTP/1.1 ") + status + "\r\nX-Request-Id: " +
                  id + "\r\n" + more + "Content-Length: 0\r\n\r\n");
    };
    auto wanted = header_of(head, "X-Expect-Instance");
    if (!wanted.empty() && wanted != id_) {
        refuse("421 Misdirected", "");
        return;
    }
    count_arrival();
    if (left_at_ && loop_.now() > *left_at_ + drain_limit && node_is_settled &&
        node_is_settled())
        seen_.violation("reached a server after it had left: " + id_);
    if (must_be_idle && must_be_idle())
        seen_.violation("reached a server of an evacuated domain: " + id);
    if (random_.unit() < bad.turn_away) {
        refuse("503 Busy", "X-Not-Executed: 1\r\n");
        return;
    }
    seen_.ran(id, header_of(head, "X-Tenant"),
              !header_of(head, "Authorization").empty());
    auto to = std::static_pointer_cast<test::scripted_connection>(
        from.shared_from_this());
    auto work = std::chrono::milliseconds(1 + random_.below(most_work_ms));
    auto length = header_of(head, "Content-Length");
    bool is_long =
        !length.empty() && std::stoul(length) > test::long_body_bytes;
    loop_.call_after(work, [this, to, id, is_long] {
        if (is_long)
            answer_early(to, id);
        else
            answer(to, id);
    });
}

void soak_backend::answer_early(
    const std::shared_ptr<test::scripted_connection>& to, const std::string& id)
{
    if (!to->is_open())
        return;
    auto body = body_for(id);
    auto draw = random_.unit();
    if ((draw -= bad.lose_answer) < 0) {
        to->abort();
        return;
    }
    if ((draw -= bad.cut_answer) < 0) {
        cut_answer(*to, id);
        return;
    }
    // Whole, with a length or ended by the connection.
    auto framing = random_.below(2) == 0 ? length_field(body) : std::string();
    to->send(answer_head(id, "200 OK", "Connection: close\r\n" + framing) +
             body);
    to->finish(linger);
}

void soak_backend::cut_answer(test::scripted_connection& to,
                              const std::string& id)
{
    auto body = body_for(id);
    auto part = body.substr(0, body.size() / 2);
    switch (random_.below(4)) {
    case 0:
        to.send(answer_head(id, "200 OK", length_field(body)) + part);
        to.finish(linger);
        return;
    case 1:
        to.send(answer_head(id, "200 OK", chunked_field) +
                connection::http::chunk(part));
        to.finish(linger);
        return;
    case 2:
        to.send(answer_head(id, "200 OK", chunked_field) +
                connection::http::chunk(part));
        to.abort();
        return;
    default:
        to.send(answer_head(id, "200 OK", "") + part);
        to.abort();
    }
}

void soak_backend::send_invalid(test::scripted_connection& to,
                                const std::string& id)
{
    auto body = body_for(id);
    auto length = length_field(body);
    switch (random_.below(4)) {
    case 0:
        to.send(answer_head(id, "000 Oops", length) + body);
        return;
    case 1:
        to.send(answer_head(id, "200 OK", "X-Bad : x\r\n" + length) + body);
        return;
    case 2:
        to.send(answer_head(id, "200 OK", "X-\x01: x\r\n" + length) + body);
        return;
    default:
        to.send(
            answer_head(id, "200 OK", "Transfer-Encoding: gzip, chunked\r\n") +
            connection::http::chunk("coded") +
            std::string(connection::http::last_chunk));
    }
}

void soak_backend::answer(const std::shared_ptr<test::scripted_connection>& to,
                          const std::string& id)
{
    if (!to->is_open())
        return;
    auto body = body_for(id);
    auto draw = random_.unit();
    if ((draw -= bad.lose_answer) < 0) {
        to->abort();
        return;
    }
    if ((draw -= bad.cut_answer) < 0) {
        cut_answer(*to, id);
        return;
    }
    if ((draw -= bad.invalid_answer) < 0) {
        send_invalid(*to, id);
        return;
    }
    auto text = answer_head(id, "200 OK", length_field(body)) + body;
    to->send(text);
    if ((draw -= bad.extra_answer) < 0)
        to->send(text);
}

} // namespace shallotwood::soak
