#include "process/sidecar/local_executor.hpp"

#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

namespace shallotwood::process::sidecar
{

namespace
{

using request::execution;
using request::reason;
using telemetry::decision;

// Largest response body that is kept for a sender that reconnects.
constexpr std::size_t max_copy_bytes = std::size_t{64} * 1024;

// How long the outcome of an attempt is kept and a fenced attempt is refused.
// Must exceed the time that data of a lost connection can still be in transit.
constexpr duration outcome_retention = std::chrono::seconds(5);

// A repeatable attempt without a receiver is cancelled after this time.
constexpr duration detached_attempt_timeout = std::chrono::milliseconds(400);

// The backend server stops a request at its deadline by itself; its response
// may arrive this much later.
constexpr duration deadline_grace = std::chrono::milliseconds(100);

// How long an attempt that must not be repeated may continue after its
// deadline, when nobody waits for its response any more.
constexpr duration abandoned_attempt_timeout = std::chrono::seconds(2);

// A reused connection that breaks within this time after the request was sent
// may have been closed while idle, as far as can be told. The response may as
// well have been lost.
constexpr duration idle_close_limit = std::chrono::milliseconds(50);

// Weight of the newest call in the moving average of the failure rate.
constexpr double failure_rate_weight = 0.04;

// A crash of the backend server is detected at most this long after its
// connections broke. The slowest sign is the first announcement of its next
// start: it comes back within about 5 s and announces itself within 1.5 s.
constexpr duration crash_window = std::chrono::seconds(10);

// The same for a connection that broke although the backend server was found
// listening afterwards: it has lost one response, or has restarted so fast that
// no connection was refused. In that case its next announcement, after 1.5 s at
// most, tells.
constexpr duration fast_restart_window = std::chrono::milliseconds(2500);

// Broken attempts kept to find the request that caused a crash.
constexpr std::size_t max_broken_attempts = 1000;

// The body of a refusal is read up to these bounds, so that the connection can
// be kept. One that exceeds them is closed, since the caller waits meanwhile.
constexpr std::size_t max_refusal_bytes = std::size_t{64} * 1024;
constexpr duration max_refusal_time = std::chrono::seconds(1);

// Retry-After for a request that is suspected to crash backend servers.
constexpr duration suspect_retry_after = std::chrono::seconds(60);

// An attempt is not started with less time than this before its deadline.
constexpr duration min_execution_time = std::chrono::milliseconds(5);

// A cold time is logged again if it ends later by more than this.
constexpr duration cold_log_step = std::chrono::milliseconds(500);

// Routes whose predictions are logged at a time.
constexpr std::size_t max_logged_routes = 16;

// The backend server runs on the same machine, so unacknowledged data means
// that nothing listens any more.
constexpr connection::net::liveness backend_liveness{
    std::chrono::milliseconds(700), 1};

connection::http::client_options
backend_options(const protocol_adapter& adapter)
{
    connection::http::client_options it;
    it.alive = backend_liveness;
    it.echo_header = adapter.echo_header();
    it.message.header_bytes = 32 * 1024;
    it.message.body_bytes = std::uint64_t{1} << 40;
    return it;
}

} // namespace

local_executor::local_executor(
    loop::reactor& loop, const protocol_adapter& adapter, counters& counts,
    local_backend& backend, const load::shed_threshold_table& shed_thresholds,
    load::crash_suspects& suspects)
    : loop_(loop), adapter_(adapter), counts_(counts), backend_(backend),
      resend_budget_(loop, {}), shed_thresholds_(shed_thresholds),
      suspects_(suspects), admission_controller_(loop, loop),
      cold_(
          loop, loop, [this] { return capacity(); },
          [this] { cold_changed(); }),
      service_times_(loop), cost_model_(loop),
      remaining_work_(loop, cost_model_), pool_(loop, backend_options(adapter)),
      listen_check_(loop, backend_liveness,
                    [this](bool listens) { handle_listen_check(listens); }),
      forgotten_(loop)
{
    pool_.set_address(backend.address());
    pool_.on_all_lost([this] { cold_.suspect_restart(); });
}

local_executor::~local_executor()
{
    for (const auto& [id, it] : attempts_)
        it->abandon();
}

std::shared_ptr<request::attempt> local_executor::start(
    const request::attempt_request& what,
    const std::shared_ptr<request::attempt_receiver>& receiver)
{
    auto it = std::make_shared<local_attempt>(*this, what, receiver);
    if (fenced_.count(what.attempt_id) != 0) {
        it->refuse(reason::fenced);
        return it;
    }
    attempts_.emplace(what.attempt_id, it);
    it->begin();
    return it;
}

std::shared_ptr<local_attempt> local_executor::attach(
    const std::string& attempt_id,
    const std::shared_ptr<request::attempt_receiver>& receiver)
{
    auto it = attempts_.find(attempt_id);
    if (it != attempts_.end() && it->second->join(receiver))
        return it->second;
    request::verdict what{execution::may_have_run, reason::duplicate};
    if (it == attempts_.end() && !forgotten_.may_contain(attempt_id)) {
        what = {execution::not_run, reason::fenced};
        fenced_.emplace(attempt_id, loop_.now() + outcome_retention);
        loop_.call_after(outcome_retention, guard_.wrap([this, attempt_id] {
            fenced_.erase(attempt_id);
        }));
    }
    receiver->on_failure({what, std::nullopt});
    return nullptr;
}

void local_executor::set_resend_budget(const retry::budget_settings& budget,
                                       std::size_t nodes)
{
    resend_budget_.set_settings(budget);
    resend_budget_.set_nodes(nodes);
}

void local_executor::backend_changed()
{
    if (notice_.backend != backend_.key()) {
        notice_ = {backend_.key(), 0, false};
        notice_recorded_ = false;
        admission_controller_.set_rate_limit(std::nullopt);
        // They were opened to the server's earlier start.
        if (cold_.limits())
            pool_.close_idle();
    }
    pool_.set_address(backend_.address());
    if (backend_.slots() > 0)
        admission_controller_.set_slots(backend_.slots());
    if (!backend_.takes_calls())
        admission_controller_.refuse_all();
}

void local_executor::handle_announcement(const announcement& it,
                                         bool started_in_traffic)
{
    cold_.handle_announcement(backend_.key(), started_in_traffic,
                              it.warmup_left);
}

double local_executor::capacity() const
{
    auto time =
        std::chrono::duration<double>(admission_controller_.service_time());
    return backend_.slots() / std::max(time.count(), 1e-6);
}

bool local_executor::may_resend()
{
    // Several connections that break together are signs of a restart; what is
    // sent again then would meet a cold server all at once.
    return !cold_.limits() ||
           (pool_.recent_losses() <= 1 && admission_controller_.may_resend());
}

void local_executor::cold_changed()
{
    admission_controller_.set_cold_limit(cold_.limit());
    auto phase = cold_.phase();
    auto until = loop_.now() + cold_.left();
    bool was_cold = logged_phase_ == load::cold_phase::cold;
    bool entered = phase == load::cold_phase::cold && !was_cold;
    bool worth_a_line = entered || cold_.cause() != logged_cause_ ||
                        until > logged_until_ + cold_log_step;
    if (entered)
        ++counts_.at("cold_starts");
    if (phase == load::cold_phase::cold && worth_a_line) {
        logged_cause_ = cold_.cause();
        logged_until_ = until;
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(info)
                << "event=backend_cold" << field("backend", backend_.id())
                << field("cause", name_of(cold_.cause()))
                << field("rate", cold_.published_rate())
                << field("until_ms",
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             cold_.left())
                             .count())
                << field("running", admission_controller_.running())
                << field("waiting", admission_controller_.waiting());
    }
    if (phase == load::cold_phase::warm && phase != logged_phase_ &&
        telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=backend_warm" << field("backend", backend_.id())
            << field("running", admission_controller_.running())
            << field("waiting", admission_controller_.waiting());
    logged_phase_ = phase;
    if (cold_listener_)
        cold_listener_();
}

routing::load_report local_executor::load(const std::string& route) const
{
    return {admission_controller_.running(),
            static_cast<int>(admission_controller_.waiting()),
            admission_controller_.limit(),
            admission_controller_.service_time(),
            failure_rate_,
            std::min(admission_controller_.shed_threshold(),
                     shed_thresholds_.downstream_threshold(route)),
            notice_,
            service_times_.estimate(route),
            static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    loop_.now().time_since_epoch())
                    .count()),
            remaining_work_.left()};
}

void local_executor::log_costs() const
{
    std::size_t logged = 0;
    for (const auto& route : cost_model_.routes()) {
        auto it = cost_model_.errors(route);
        if (!it || it->compared == 0)
            continue;
        if (++logged > max_logged_routes)
            break;
        SHALLOTWOOD_LOG(info) << "event=cost_model" << field("route", route)
                              << field("feature", load::name_of(it->best))
                              << field("used", it->used)
                              << field("error_us", it->by_feature.count())
                              << field("mean_error_us", it->by_mean.count())
                              << field("compared", it->compared);
    }
}

void local_executor::record_outcome(bool failed)
{
    failure_rate_ += failure_rate_weight * ((failed ? 1 : 0) - failure_rate_);
}

void local_executor::record_broken_attempt(
    load::fingerprint request_fingerprint)
{
    // What breaks after a crash was noticed has been reported with it.
    if (!backend_.takes_calls())
        return;
    auto now = loop_.now();
    while (!broken_attempts_.empty() &&
           (now - broken_attempts_.front().at > crash_window ||
            broken_attempts_.size() >= max_broken_attempts))
        broken_attempts_.pop_front();
    broken_attempts_.push_back({now, request_fingerprint, false});
    // In a quiet service, no call would show a crash before the request at
    // fault has crashed the next backend server.
    listen_check_.start(pool_.address());
}

void local_executor::handle_listen_check(bool listens)
{
    if (!listens) {
        handle_unreachable();
        return;
    }
    auto checked = loop_.now() - connection::net::listen_check::settle_time;
    for (auto& it : broken_attempts_)
        it.listened_later |= it.at <= checked;
    // What broke during the check may be the beginning of a crash.
    if (!broken_attempts_.empty() && !broken_attempts_.back().listened_later &&
        backend_.takes_calls())
        listen_check_.start(pool_.address());
}

void local_executor::handle_unreachable()
{
    if (backend_.unreachable() == local_backend::effect::changed) {
        handle_backend_crash();
        cold_.suspect_restart();
    }
    if (backend_listener_)
        backend_listener_("unreachable");
}

void local_executor::handle_backend_crash()
{
    std::vector<load::fingerprint> in_flight;
    for (const auto& it : broken_attempts_)
        if (loop_.now() - it.at <=
            (it.listened_later ? fast_restart_window : crash_window))
            in_flight.push_back(it.request_fingerprint);
    for (const auto& [id, it] : running_requests_)
        in_flight.push_back(it.request_fingerprint);
    broken_attempts_.clear();
    if (crash_listener_)
        crash_listener_(in_flight);
}

const local_executor::running_request*
local_executor::find_running(const std::string& request_id) const
{
    auto it = running_requests_.find(request_id);
    return it == running_requests_.end() ? nullptr : &it->second;
}

void local_executor::record_notice(const routing::backend_notice& it)
{
    notice_recorded_ = true;
    apply_notice(it);
}

void local_executor::adopt_notice(const routing::backend_notice& it)
{
    if (!notice_recorded_ && it.backend != 0 && it.backend == notice_.backend &&
        (it.rate_limit > 0 || it.leaving))
        apply_notice(it);
}

void local_executor::apply_notice(const routing::backend_notice& it)
{
    if (it.rate_limit != notice_.rate_limit) {
        notice_.rate_limit = it.rate_limit;
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(info)
                << "event=backend_limited" << field("backend", backend_.id())
                << field("rate", it.rate_limit)
                << field("from", notice_recorded_ ? "backend" : "peer")
                << field("running", admission_controller_.running())
                << field("waiting", admission_controller_.waiting());
        admission_controller_.set_rate_limit(
            it.rate_limit > 0 ? std::optional<double>(it.rate_limit)
                              : std::nullopt);
    }
    if (!it.leaving || notice_.leaving)
        return;
    notice_.leaving = true;
    if (backend_.handle_leaving() == local_backend::effect::changed &&
        backend_listener_)
        backend_listener_("leaving");
}

void local_executor::set_evacuated(bool evacuated)
{
    if (evacuated == evacuated_)
        return;
    evacuated_ = evacuated;
    if (evacuated_)
        admission_controller_.refuse_all();
    else
        evacuation_ended();
}

void local_executor::evacuation_ended()
{
    if (telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=evacuation_ended" << field("backend", backend_.id())
            << field("running", admission_controller_.running());
    cold_.assume_cold(load::cold_cause::evacuation_ended);
}

std::optional<reason> local_executor::evacuation_refusal() const
{
    if (evacuated_)
        return reason::evacuated;
    if (evacuations_known_ && !evacuations_known_())
        return reason::no_backend_server;
    return std::nullopt;
}

std::optional<reason> local_executor::refusal() const
{
    if (auto why = evacuation_refusal())
        return why;
    if (leaving_)
        return reason::draining;
    if (backend_.takes_calls())
        return std::nullopt;
    return backend_.state() == fleet::backend_state::draining
               ? reason::draining
               : reason::no_backend_server;
}

void local_executor::forget(const std::string& attempt_id)
{
    attempts_.erase(attempt_id);
}

void local_executor::forget_outcome(const std::string& attempt_id)
{
    forgotten_.add(attempt_id);
    forget(attempt_id);
}

local_attempt::local_attempt(
    local_executor& owner, const request::attempt_request& what,
    std::shared_ptr<request::attempt_receiver> receiver)
    : owner_(owner), request_(what),
      fingerprint_(load::fingerprint_of(
          what.workspace, what.head.method, what.head.target,
          what.body->complete() ? what.body->from(0) : std::string_view())),
      receiver_(std::move(receiver)), arrived_(owner.loop_.now()),
      deadline_(arrived_ + what.remaining)
{
}

duration local_attempt::remaining() const
{
    return deadline_ - owner_.loop_.now();
}

void local_attempt::begin()
{
    auto self = shared_from_this();
    if (request_.service != owner_.backend_.service()) {
        refuse(reason::no_backend_server);
        return;
    }
    owner_.adopt_notice(request_.notice);
    if (auto why = owner_.refusal()) {
        refuse(*why);
        return;
    }
    if (owner_.suspects_.is_refused(fingerprint_)) {
        refuse(reason::suspected_crash, suspect_retry_after);
        return;
    }
    arrival_ = ++owner_.last_arrival_;
    load::admission_request it{
        arrival_, request_.is_child_call, request_.key,
        arrived_ + std::min(request_.max_queue_time, request_.remaining)};
    owner_.remaining_work_.arrive(
        arrival_, request_.route,
        {request_.head.method, request_.workspace, request_.head.target,
         request_.body->complete() ? request_.body->received()
                                   : request_.body->length()});
    owner_.admission_controller_.arrive(
        it, [self](load::admission_decision admission_decision) {
            self->handle_admission(admission_decision);
        });
}

void local_attempt::handle_admission(load::admission_decision it)
{
    if (it == load::admission_decision::refused) {
        auto why = owner_.refusal().value_or(reason::overload);
        if (why == reason::overload &&
            owner_.cold_.phase() == load::cold_phase::cold)
            ++owner_.counts_.at("cold_refusals");
        refuse(why, owner_.admission_controller_.retry_after());
        return;
    }
    bool too_late = remaining() < min_execution_time;
    auto evacuated = owner_.evacuation_refusal();
    if (too_late || evacuated ||
        (owner_.may_start_ && !owner_.may_start_(remaining()))) {
        owner_.admission_controller_.finished(
            owner_.admission_controller_.service_time());
        refuse(too_late    ? reason::deadline
               : evacuated ? *evacuated
                           : reason::draining);
        return;
    }
    state_ = state::running;
    ++owner_.running_;
    ++owner_.counts_.at("runs_started");
    owner_.running_requests_[request_.request_id] = {
        request_.route, request_.key, request_.is_retry, fingerprint_};
    timer_ = owner_.loop_.call_after(
        remaining() + deadline_grace,
        [self = shared_from_this()] { self->expire(); });
    owner_.resend_budget_.record_call(request_.service);
    first_sent_ = owner_.loop_.now();
    owner_.service_times_.record_start(request_.route, first_sent_);
    owner_.remaining_work_.start(arrival_);
    send();
}

void local_attempt::send()
{
    started_ = owner_.loop_.now();
    auto newest = request_.repeatable
                      ? owner_.settings_.idle_limit
                      : owner_.settings_.non_repeatable_idle_limit;
    connection_ = owner_.pool_.take(resent_ ? duration(0) : newest);
    sending_started_ = true;
    auto head = request_.head;
    owner_.adapter_.prepare_backend_request(head, request_,
                                            owner_.backend_.id(), remaining());
    connection::http::framing how;
    const auto& body = *request_.body;
    if (body.complete() && (body.received() > 0 || body.length()))
        how = {connection::http::framing::kind::length, body.received()};
    else if (!body.complete() && body.length())
        how = {connection::http::framing::kind::length, *body.length()};
    else if (!body.complete())
        how = {connection::http::framing::kind::chunked, 0};
    auto first = body.from(0);
    body_sent_ = first.size();
    connection_->start_call(head, how, first, request_.request_id, *this);
    if (!body.complete()) {
        request_.body->on_more([weak = weak_from_this()] {
            if (auto it = weak.lock())
                it->send_more_body();
        });
        send_more_body();
    }
}

void local_attempt::send_more_body()
{
    if (state_ != state::running || !connection_ || !connection_->is_open())
        return;
    // Applies backpressure to the upload while the connection's send buffer is
    // full.
    if (connection_->unsent() > request::upload::kept_bytes)
        return;
    auto bytes = request_.body->from(body_sent_);
    body_sent_ += bytes.size();
    bool last =
        request_.body->complete() && body_sent_ == request_.body->received();
    connection_->send_body(bytes, last);
    request_.body->release(body_sent_);
}

void local_attempt::on_response(connection::http::response_head&& head,
                                const connection::http::message_info& info)
{
    auto self = shared_from_this();
    const auto& adapter = owner_.adapter_;
    bool echoes_id = head.headers.find(adapter.echo_header()) != nullptr;
    // On a kept connection it may be an earlier response, written once more.
    if (!echoes_id && connection_->used()) {
        reject_response();
        return;
    }
    if (!adapter.is_misdirected_response(head) && echoes_id)
        owner_.record_notice(adapter.read_notice(head));
    if (adapter.is_misdirected_response(head) ||
        adapter.is_not_run_response(head)) {
        misdirected_ = adapter.is_misdirected_response(head);
        refused_by_backend_ = true;
        if (state_ != state::running)
            return;
        owner_.loop_.cancel(timer_);
        timer_ = owner_.loop_.call_after(
            std::min(max_refusal_time, remaining() + deadline_grace),
            [self] { self->finish_refusal(); });
        return;
    }
    // A success without the backend server's mark and the echoed request ID may
    // come from another process or belong to another request.
    bool known = adapter.is_from_backend(head) && echoes_id;
    if (!known && head.status / 100 == 2) {
        reject_response();
        return;
    }
    owner_.suspects_.record_response(fingerprint_);
    head.headers.remove_hop_by_hop();
    response_length_ = info.length;
    if (!request_.repeatable)
        response_head_ = head;
    if (auto to = receiver_) {
        to->on_load(owner_.load(request_.route));
        // The receiver may have cancelled the attempt.
        if (receiver_)
            to->on_response(std::move(head), info.length);
    } else {
        response_head_ = std::move(head);
    }
}

void local_attempt::reject_response()
{
    connection_->close();
    release_backend();
    owner_.record_outcome(true);
    fail(execution::may_have_run, reason::malformed);
}

void local_attempt::finish_refusal()
{
    if (state_ != state::running)
        return;
    auto self = shared_from_this();
    // Within a message; a connection whose call has ended is kept.
    if (connection_->busy())
        connection_->close();
    release_backend();
    owner_.record_outcome(true);
    if (misdirected_)
        owner_.backend_.unreachable();
    refuse(reason::backend_server_failed);
}

void local_attempt::on_response_body(std::string_view bytes)
{
    if (state_ != state::running)
        return;
    auto self = shared_from_this();
    if (refused_by_backend_) {
        refusal_bytes_ += bytes.size();
        if (refusal_bytes_ > max_refusal_bytes)
            finish_refusal();
        return;
    }
    if (!request_.repeatable || !receiver_) {
        if (response_copy_.size() + bytes.size() > max_copy_bytes)
            copy_complete_ = false;
        else
            response_copy_.append(bytes);
    }
    if (auto to = receiver_)
        to->on_response_body(bytes);
}

void local_attempt::on_response_end()
{
    auto self = shared_from_this();
    if (refused_by_backend_) {
        finish_refusal();
        return;
    }
    if (state_ == state::running)
        owner_.remaining_work_.finish(arrival_);
    release_backend();
    owner_.record_outcome(false);
    response_ended_ = true;
    auto to = receiver_;
    end();
    if (to)
        to->on_response_end();
}

void local_attempt::on_failure(const connection::http::call_failure& why)
{
    auto self = shared_from_this();
    if (may_resend(why)) {
        resent_ = true;
        earlier_may_have_run_ = !why.unsent;
        ++owner_.counts_.at("backend_idle_closes");
        owner_.admission_controller_.resent();
        send();
        return;
    }
    release_backend();
    owner_.record_outcome(true);
    if (why.bad_status) {
        ++owner_.counts_.at("backend_bad_status");
        if (telemetry::allow(decision::failed))
            SHALLOTWOOD_LOG(warning) << "event=backend_bad_status"
                                     << field("request", request_.request_id)
                                     << field("backend", owner_.backend_.id())
                                     << field("status", *why.bad_status);
    }
    bool sent = !why.unsent || earlier_may_have_run_;
    if (sent && !why.malformed)
        owner_.record_broken_attempt(fingerprint_);
    if (why.refused)
        owner_.handle_unreachable();
    if (!sent) {
        refuse(reason::connection_failed);
        return;
    }
    fail(execution::may_have_run,
         why.malformed ? reason::malformed : reason::connection_failed);
}

bool local_attempt::may_resend(const connection::http::call_failure& why)
{
    // A request that is sent again counts as one that reaches the server.
    if (resent_ || why.refused || why.malformed ||
        !request_.body->replayable() || remaining() <= min_execution_time ||
        owner_.evacuation_refusal() || !owner_.may_resend())
        return false;
    if (why.unsent)
        return true;
    return request_.repeatable && connection_->used() && why.unanswered &&
           owner_.loop_.now() - started_ < idle_close_limit &&
           owner_.resend_budget_.spend(request_.service);
}

void local_attempt::release_backend()
{
    if (state_ != state::running)
        return;
    state_ = state::ended;
    --owner_.running_;
    owner_.running_requests_.erase(request_.request_id);
    owner_.remaining_work_.leave(arrival_);
    owner_.loop_.cancel(timer_);
    request_.body->on_more({});
    auto took = owner_.loop_.now() - started_;
    owner_.service_times_.record_end(request_.route, first_sent_);
    if (connection_)
        owner_.pool_.give_back(std::move(connection_));
    connection_.reset();
    owner_.admission_controller_.finished(took);
}

void local_attempt::abandon()
{
    receiver_.reset();
    request_.body->on_more({});
    if (state_ == state::running) {
        owner_.loop_.cancel(timer_);
        if (connection_)
            connection_->close();
    }
    state_ = state::ended;
}

void local_attempt::refuse(reason why, std::optional<duration> retry_after)
{
    auto self = shared_from_this();
    state_ = state::ended;
    ++owner_.counts_.at("runs_refused");
    if (why == reason::evacuated)
        ++owner_.counts_.at("runs_refused_evacuated");
    if (telemetry::allow(decision::refused))
        SHALLOTWOOD_LOG(info)
            << "event=run_refused" << field("request", request_.request_id)
            << field("attempt", request_.attempt_id)
            << field("route", request_.route) << field("reason", name_of(why))
            << field("key", request_.key)
            << field("cut", owner_.admission_controller_.shed_threshold())
            << field("running", owner_.admission_controller_.running())
            << field("waiting", owner_.admission_controller_.waiting())
            << field("limit", owner_.admission_controller_.limit())
            << field("backend_state", fleet::name_of(owner_.backend_.state()));
    auto known =
        earlier_may_have_run_ ? execution::may_have_run : execution::not_run;
    failure_ = request::attempt_failure{{known, why}, retry_after};
    auto to = receiver_;
    end();
    if (to) {
        to->on_load(owner_.load(request_.route));
        to->on_failure(*failure_);
    }
}

void local_attempt::fail(execution known, reason why)
{
    auto self = shared_from_this();
    ++owner_.counts_.at("runs_failed");
    if (telemetry::allow(decision::failed))
        SHALLOTWOOD_LOG(warning)
            << "event=run_failed" << field("request", request_.request_id)
            << field("attempt", request_.attempt_id)
            << field("route", request_.route)
            << field("verdict", name_of(known)) << field("reason", name_of(why))
            << field("backend", owner_.backend_.id())
            << field("after_us", (owner_.loop_.now() - started_).count());
    failure_ = request::attempt_failure{{known, why}, std::nullopt};
    auto to = receiver_;
    end();
    if (to) {
        to->on_load(owner_.load(request_.route));
        to->on_failure(*failure_);
    }
}

void local_attempt::end()
{
    receiver_.reset();
    owner_.remaining_work_.leave(arrival_);
    if (request_.repeatable) {
        owner_.forget(request_.attempt_id);
        return;
    }
    owner_.loop_.call_after(
        outcome_retention,
        owner_.guard_.wrap([&owner = owner_, id = request_.attempt_id] {
            owner.forget_outcome(id);
        }));
}

void local_attempt::expire()
{
    if (state_ != state::running)
        return;
    auto self = shared_from_this();
    if (auto to = std::move(receiver_)) {
        failure_ = request::attempt_failure{
            {execution::may_have_run, reason::deadline}, std::nullopt};
        to->on_load(owner_.load(request_.route));
        to->on_failure(*failure_);
    }
    if (request_.repeatable) {
        cancel();
        return;
    }
    // The backend server stops the request at its deadline by itself.
    timer_ = owner_.loop_.call_after(abandoned_attempt_timeout, [self] {
        if (self->state_ != state::running)
            return;
        self->connection_->close();
        self->release_backend();
        self->end();
    });
}

void local_attempt::cancel()
{
    auto self = shared_from_this();
    receiver_.reset();
    if (state_ == state::waiting) {
        state_ = state::ended;
        owner_.admission_controller_.leave(arrival_);
        end();
        return;
    }
    if (state_ != state::running || !request_.repeatable)
        return;
    // A backend server cancels the request when its connection is closed.
    connection_->close();
    release_backend();
    end();
}

void local_attempt::pause()
{
    paused_ = true;
    if (connection_)
        connection_->pause_reading();
}

void local_attempt::resume()
{
    paused_ = false;
    if (connection_)
        connection_->resume_reading();
}

void local_attempt::detach()
{
    receiver_.reset();
    if (paused_)
        resume();
    if (state_ == state::ended || !request_.repeatable)
        return;
    owner_.loop_.call_after(detached_attempt_timeout,
                            [self = shared_from_this()] {
                                if (!self->receiver_)
                                    self->cancel();
                            });
}

bool local_attempt::join(std::shared_ptr<request::attempt_receiver> receiver)
{
    bool started = response_head_.has_value();
    if (started && !copy_complete_)
        return false;
    if (!started && state_ != state::ended) {
        receiver_ = std::move(receiver);
        return true;
    }
    receiver->on_load(owner_.load(request_.route));
    if (failure_) {
        receiver->on_failure(*failure_);
        return true;
    }
    if (!started)
        return false;
    auto head = *response_head_;
    receiver->on_response(std::move(head), response_length_);
    receiver->on_response_body(response_copy_);
    if (response_ended_)
        receiver->on_response_end();
    else
        receiver_ = std::move(receiver);
    return true;
}

} // namespace shallotwood::process::sidecar
