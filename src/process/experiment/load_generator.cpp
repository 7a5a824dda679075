#include "process/experiment/load_generator.hpp"

#include "process/stream_hash.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::process::experiment
{

namespace
{

constexpr auto give_up_margin = std::chrono::seconds(1);
constexpr int first_error_status = 400;

std::string value_of(const connection::header_list& headers, const char* name)
{
    for (const auto& it : headers) {
        if (g_ascii_strcasecmp(it.name.c_str(), name) == 0)
            return it.value;
    }
    return {};
}

Json::Value to_json(const load_counts& it)
{
    Json::Value json;
    json["arrivals"] = Json::UInt64(it.arrivals);
    json["not_sent"] = Json::UInt64(it.not_sent);
    json["attempts"] = Json::UInt64(it.attempts);
    json["complete"] = Json::UInt64(it.complete);
    json["refused"] = Json::UInt64(it.refused);
    json["incomplete"] = Json::UInt64(it.incomplete);
    json["wrong_body"] = Json::UInt64(it.wrong_body);
    json["wrong_caller"] = Json::UInt64(it.wrong_caller);
    json["timed_out"] = Json::UInt64(it.timed_out);
    json["no_response"] = Json::UInt64(it.no_response);
    return json;
}

} // namespace

Json::Value to_json(const load_report& it)
{
    auto json = to_json(it.total);
    json["seconds"] = std::chrono::duration<double>(it.measured).count();
    for (auto [name, q] : {std::pair("p50_us", 0.5), std::pair("p99_us", 0.99),
                           std::pair("p999_us", 0.999)})
        json[name] = Json::Int64(it.latency.quantile(q).count());
    for (const auto& [name, counts] : it.by_workspace)
        json["workspaces"][name] = to_json(counts);
    for (const auto& [name, n] : it.by_verdict)
        json["verdicts"][name] = Json::UInt64(n);
    for (const auto& [status, n] : it.by_status)
        json["statuses"][std::to_string(status)] = Json::UInt64(n);
    return json;
}

struct load_generator::request {
    explicit request(event_loop& on) : give_up(on) {}

    const load_workspace* workspace = nullptr;
    std::string mark;
    time_point planned;
    bool measured = true;
    int retries_left = 0;
    std::shared_ptr<connection::client_call> call;
    http::scoped_timer give_up;

    // Of the current attempt.
    connection::response_head head;
    std::string verdict;
    stream_hash hash;
    std::uint64_t bytes = 0;

    void reset()
    {
        head = {};
        verdict.clear();
        hash.reset();
        bytes = 0;
    }
};

load_generator::load_generator(load_settings settings, event_loop& loop,
                               connection::http_client& client)
    : settings_(std::move(settings)), loop_(loop), client_(client),
      random_(settings_.seed), timer_([this] { launch_due(); })
{
    for (const auto& it : settings_.workspaces)
        total_weight_ += it.weight;
}

load_generator::~load_generator() = default;

void load_generator::start(std::function<void()> done)
{
    done_ = std::move(done);
    started_ = loop_.now();
    next_ = started_;
    plan_next();
    launch_due();
}

void load_generator::plan_next()
{
    double seconds = 1 / settings_.rate;
    if (settings_.poisson)
        seconds =
            std::exponential_distribution<>(settings_.rate)(random_.engine());
    next_ += duration(static_cast<std::int64_t>(seconds * 1e6));
    if (next_ - started_ >= settings_.warm_up + settings_.length ||
        last_request_ >= settings_.max_requests) {
        planning_ = false;
        report_.measured = loop_.now() - started_ - settings_.warm_up;
        return finish_if_idle();
    }
}

// Late arrivals are made up for in bounded bursts, so that responses are read
// in between.
void load_generator::launch_due()
{
    constexpr int max_burst = 64;
    for (int n = 0; planning_ && n < max_burst && next_ <= loop_.now(); ++n) {
        arrive(next_);
        plan_next();
    }
    if (planning_)
        timer_.start(next_ - loop_.now());
}

const load_workspace& load_generator::pick_workspace()
{
    auto left = random_.unit() * total_weight_;
    for (const auto& it : settings_.workspaces) {
        left -= it.weight;
        if (left < 0)
            return it;
    }
    return settings_.workspaces.back();
}

void load_generator::arrive(time_point planned)
{
    auto it = std::make_shared<request>(loop_);
    it->workspace = &pick_workspace();
    it->mark = std::to_string(++last_request_);
    it->planned = planned;
    it->measured = planned - started_ >= settings_.warm_up;
    it->retries_left = settings_.hard_retries;
    count(*it, &load_counts::arrivals);
    if (in_flight_ >= settings_.max_in_flight)
        return count(*it, &load_counts::not_sent);
    ++in_flight_;
    attempt(it);
}

void load_generator::count(const request& it, std::uint64_t load_counts::*what)
{
    if (!it.measured)
        return;
    ++(report_.total.*what);
    ++(report_.by_workspace[it.workspace->name].*what);
}

connection::client_request load_generator::make_request(const request& it) const
{
    connection::client_request message;
    message.method = settings_.method;
    message.host = settings_.host;
    message.port = settings_.port;
    message.path = it.workspace->path;
    if (settings_.marks) {
        bool query = message.path.find('?') != std::string::npos;
        message.path += (query ? "&mark=" : "?mark=") + it.mark;
    }
    if (!it.workspace->key.empty())
        message.headers.push_back(
            {"Authorization", "Bearer " + it.workspace->key});
    if (settings_.idempotency_keys)
        message.headers.push_back(
            {"Idempotency-Key",
             std::to_string(settings_.seed) + "-" + it.mark});
    auto seconds = std::chrono::duration<double>(settings_.timeout).count();
    message.headers.push_back({"Request-Timeout", std::to_string(seconds)});
    if (settings_.body_bytes > 0) {
        message.body =
            std::make_shared<connection::request_body>(settings_.body_bytes);
        message.body->append(std::string(settings_.body_bytes, 'b'));
        message.body->finish();
    }
    return message;
}

void load_generator::attempt(const request_handle& it)
{
    it->reset();
    count(*it, &load_counts::attempts);
    it->call = client_.start(make_request(*it), make_handlers(it));
    it->give_up.start(settings_.timeout + give_up_margin, [this, it] {
        it->call->cancel();
        ended(it, &load_counts::timed_out);
    });
}

connection::client_handlers
load_generator::make_handlers(const request_handle& it)
{
    connection::client_handlers handlers;
    handlers.on_head = [this, it](const auto& head, const auto& internal) {
        head_received(*it, head, internal);
        it->call->read();
    };
    handlers.on_data = [it](std::string_view bytes) {
        it->bytes += bytes.size();
        it->hash.add(bytes);
        it->call->read();
    };
    handlers.on_end = [this, it] { ended(it, outcome_of(*it)); };
    handlers.on_failure = [this, it](const auto& /*unused*/) {
        ended(it, it->head.status == 0 ? &load_counts::no_response
                                       : &load_counts::incomplete);
    };
    return handlers;
}

void load_generator::head_received(request& it,
                                   const connection::response_head& head,
                                   const connection::internal_headers& internal)
{
    it.head = head;
    if (!internal.verdict.empty())
        it.verdict = internal.verdict + "/" + internal.reason;
}

std::uint64_t load_counts::*load_generator::outcome_of(const request& it) const
{
    if (it.head.status >= first_error_status)
        return &load_counts::refused;
    if (it.head.length && it.bytes != *it.head.length)
        return &load_counts::incomplete;
    if (settings_.marks && value_of(it.head.headers, "X-Mark") != it.mark)
        return &load_counts::wrong_caller;
    auto digest = value_of(it.head.headers, "X-Body-Digest");
    if (!digest.empty() && digest != it.hash.text())
        return &load_counts::wrong_body;
    return &load_counts::complete;
}

void load_generator::ended(const request_handle& it,
                           std::uint64_t load_counts::*how)
{
    it->give_up.cancel();
    if (it->measured) {
        if (it->head.status != 0)
            ++report_.by_status[it->head.status];
        if (!it->verdict.empty())
            ++report_.by_verdict[it->verdict];
    }
    if (how != &load_counts::complete && it->retries_left > 0) {
        --it->retries_left;
        return attempt(it);
    }
    count(*it, how);
    if (how == &load_counts::complete && it->measured)
        report_.latency.add(loop_.now() - it->planned);
    it->call.reset();
    --in_flight_;
    finish_if_idle();
}

void load_generator::finish_if_idle()
{
    if (!planning_ && in_flight_ == 0 && done_)
        loop_.call_after(duration(0), std::exchange(done_, nullptr));
}

} // namespace shallotwood::process::experiment
