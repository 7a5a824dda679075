#include "process/sidecar/peer_links.hpp"

#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

#include <utility>

namespace shallotwood::process::sidecar
{

namespace
{

using connection::http::header_list;
using connection::peer::session;
using connection::peer::stream_close;
using connection::peer::stream_number;
using request::execution;
using request::name_of;
using request::reason;

// How often connections are checked.
constexpr duration tick_period = std::chrono::milliseconds(100);

// A longer gap between ticks means that this process was stopped or starved.
constexpr duration max_tick_delay = tick_period * 3;

// A node is pinged when nothing was received from it for this time.
constexpr duration ping_idle_time = std::chrono::milliseconds(250);

// Without an answer to the ping, new calls go to other nodes after this time.
constexpr duration suspect_timeout = std::chrono::milliseconds(300);

// The connection is dropped after this time without an answer to the ping. Two
// lost packets in a row delay the answer by 600 ms.
constexpr duration drop_timeout = std::chrono::milliseconds(900);

// A node that was heard from within this time is taken to be alive.
constexpr duration recent_answer_time = std::chrono::seconds(1);

// Limit for establishing a connection, which takes 2 ms between failure
// domains.
constexpr duration connect_timeout = std::chrono::milliseconds(400);

// A running node accepts a connection within this time.
constexpr duration usual_connect_time = std::chrono::milliseconds(20);

// Pause before the connection to an unreachable node is retried.
constexpr duration initial_backoff = std::chrono::milliseconds(100);
constexpr duration max_backoff = std::chrono::seconds(1);

// Limit for reconnecting to a node to ask for the result of an attempt
// whose connection was lost.
constexpr duration attach_timeout = std::chrono::milliseconds(600);

// A link without calls is closed after this time: fleet views are compared with
// every node in turn, so there would be an open link to each node otherwise.
constexpr duration idle_timeout = std::chrono::seconds(20);

// With fewer unreachable nodes, the nodes themselves may have failed rather
// than this node's network.
constexpr std::size_t min_unreachable_links = 3;

// A longer reply to a message says little about the round trip.
constexpr std::size_t max_short_reply_bytes = 1024;

// A larger reply to a message is none.
constexpr std::size_t max_reply_bytes = std::size_t{4} * 1024 * 1024;

std::string name_of(const peer_address& it)
{
    return it.host + ':' + std::to_string(it.port);
}

std::string_view name_of(stream_close how)
{
    switch (how) {
    case stream_close::complete:
        return "complete";
    case stream_close::reset:
        return "reset";
    case stream_close::unprocessed:
        return "unprocessed";
    case stream_close::lost:
        return "lost";
    }
    return "unknown";
}

} // namespace

// An attempt at another node.
class peer_links::remote_attempt final
    : public request::attempt,
      public connection::peer::stream_events,
      public std::enable_shared_from_this<remote_attempt>
{
public:
    remote_attempt(peer_links& owner, const fleet::instance& at,
                   const request::attempt_request& what,
                   std::shared_ptr<request::attempt_receiver> receiver)
        : owner_(owner), to_(at.peer), name_(at.name()),
          incarnation_(at.incarnation), attempt_id_(what.attempt_id),
          request_id_(what.request_id), service_(what.service),
          route_(what.route), repeatable_(what.repeatable), body_(what.body),
          receiver_(std::move(receiver))
    {
    }

    void begin(const request::attempt_request& what)
    {
        if (owner_.closed_) {
            fail(execution::not_run, reason::connection_failed);
            return;
        }
        auto& of = owner_.find_or_add_link(to_);
        session_ = sent_over_ = owner_.session_for(of);
        state_ = of.state;
        has_body_ = !body_->empty() || body_->length();
        auto headers = head_of(what);
        owner_.introduce(headers, *session_);
        stream_ = session_->request(headers, has_body_, shared_from_this());
        if (stream_ < 0) {
            fail(execution::not_run, reason::connection_failed);
            return;
        }
        if (!has_body_)
            return;
        if (!body_->complete())
            body_->on_more([weak = weak_from_this()] {
                if (auto it = weak.lock())
                    it->send_body();
            });
        send_body();
    }

    void cancel() override
    {
        receiver_.reset();
        body_->on_more({});
        if (stream_ >= 0 && session_)
            session_->reset(stream_);
        stream_ = -1;
    }

    // Depends only on what became of the request itself, not on later
    // connections. What a socket may have taken may have run; before the
    // connection is established, cancel() withdraws the request.
    bool may_have_run() const override
    {
        return sent_over_ && sent_over_->was_connected() && !refused_unread_;
    }

    void pause() override { paused_ = true; }

    void resume() override
    {
        paused_ = false;
        if (session_ && stream_ >= 0)
            session_->consumed(stream_, unconsumed_bytes_);
        unconsumed_bytes_ = 0;
    }

    void on_head(header_list&& headers) override
    {
        auto self = shared_from_this();
        state_->head_received(headers);
        auto reply = reply_from_headers(std::move(headers), request_id_);
        if (!reply) {
            session_->reset(std::exchange(stream_, -1));
            body_->on_more({});
            fail(execution::may_have_run, reason::malformed);
            return;
        }
        if (owner_.on_revision_)
            owner_.on_revision_(name_, reply->policy_revision);
        state_->heard(service_, route_, reply->speeds);
        for (const auto& it : reply->speeds)
            owner_.load_balancer_.speeds().record(service_, route_, it);
        // Only the process to which the attempt was sent knows that it has not
        // run. Nodes of the former version don't tell such an attempt from one
        // whose response they have given up; both may have run.
        if (attaching_ && reply->failure &&
            reply->failure->what.why == reason::fenced) {
            bool is_known = reply->incarnation == incarnation_;
            fail(is_known ? reply->failure->what.run : execution::may_have_run,
                 reason::connection_failed);
            return;
        }
        if (!receiver_)
            return;
        receiver_->on_load(reply->load);
        if (reply->failure) {
            // Before the receiver starts another attempt with the body.
            body_->on_more({});
            auto to = std::move(receiver_);
            to->on_failure(*reply->failure);
            return;
        }
        responding_ = true;
        receiver_->on_response(std::move(*reply->response), reply->length);
    }

    void on_data(std::string_view bytes) override
    {
        auto self = shared_from_this();
        if (receiver_)
            receiver_->on_response_body(bytes);
        if (paused_)
            unconsumed_bytes_ += bytes.size();
        else if (session_ && stream_ >= 0)
            session_->consumed(stream_, bytes.size());
    }

    void on_end() override
    {
        auto self = shared_from_this();
        if (receiver_)
            body_->on_more({});
        // The stream would stay open for the rest of the body.
        if (has_body_ && (!body_ended_ || session_->unsent_on(stream_) > 0))
            session_->reset(std::exchange(stream_, -1));
        if (auto to = std::move(receiver_)) {
            if (responding_)
                to->on_response_end();
            else
                to->on_failure({{execution::may_have_run, reason::malformed},
                                std::nullopt});
        }
    }

    void on_closed(stream_close how) override
    {
        auto self = shared_from_this();
        stream_ = -1;
        body_->on_more({});
        if (!receiver_)
            return;
        // The end of a stream that asks says nothing about the request.
        refused_unread_ |= !attaching_ && how == stream_close::unprocessed;
        log_closed(how);
        if (!may_have_run()) {
            fail(execution::not_run, reason::connection_failed);
            return;
        }
        bool may_ask = how == stream_close::lost && !repeatable_ &&
                       !responding_ && !attaching_ && !owner_.closed_;
        if (may_ask)
            attach();
        else
            fail(execution::may_have_run, how == stream_close::lost
                                              ? reason::connection_silent
                                              : reason::connection_failed);
    }

    void on_drained() override { send_body(); }

    void on_silent() override
    {
        auto self = shared_from_this();
        if (auto to = receiver_; to && repeatable_ && !responding_)
            to->on_silent();
    }

private:
    // Asks for the result of the attempt over a new connection.
    void attach()
    {
        attaching_ = true;
        has_body_ = false;
        auto& of = owner_.find_or_add_link(to_);
        session_ = owner_.session_for(of);
        state_ = of.state;
        header_list headers;
        headers.add(":method", "GET");
        headers.add(path_header, peer_path::attach);
        headers.add("sw-attempt", attempt_id_);
        owner_.introduce(headers, *session_);
        stream_ = session_->request(headers, false, shared_from_this());
        if (stream_ < 0) {
            fail(execution::may_have_run, reason::connection_silent);
            return;
        }
        // The timeout only covers establishing the connection. A running node
        // replies at once if it doesn't know the attempt; otherwise the
        // response may take as long as the execution. Pings on the connection
        // detect a node that has gone silent.
        owner_.loop_.call_after(attach_timeout, [weak = weak_from_this()] {
            auto it = weak.lock();
            if (it && it->receiver_ && !it->session_->established())
                it->give_up();
        });
    }

    void log_closed(stream_close how) const
    {
        if (repeatable_ || !telemetry::allow(telemetry::decision::failed))
            return;
        SHALLOTWOOD_LOG(warning)
            << "event=attempt_closed" << field("request", request_id_)
            << field("attempt", attempt_id_) << field("peer", name_)
            << field("end", name_of(how)) << field("asking", attaching_ ? 1 : 0)
            << field("connected", session_->was_connected() ? 1 : 0)
            << field("verdict", name_of(may_have_run() ? execution::may_have_run
                                                       : execution::not_run));
    }

    header_list head_of(const request::attempt_request& what)
    {
        auto speeds = state_->worth_telling(owner_.load_balancer_, service_,
                                            route_, what.speeds);
        if (speeds.size() == what.speeds.size())
            return to_headers(what, state_->form());
        auto shorter = what;
        shorter.speeds = std::move(speeds);
        return to_headers(shorter, state_->form());
    }

    void give_up()
    {
        if (session_ && stream_ >= 0)
            session_->reset(stream_);
        stream_ = -1;
        fail(execution::may_have_run, reason::connection_silent);
    }

    void send_body()
    {
        if (stream_ < 0 || body_ended_)
            return;
        while (session_->unsent_on(stream_) <= session::max_unsent_bytes) {
            auto bytes = body_->from(body_sent_);
            if (bytes.empty())
                break;
            body_sent_ += bytes.size();
            session_->send_data(stream_, bytes);
            body_->release(body_sent_);
        }
        if (body_->complete() && body_sent_ == body_->received()) {
            body_ended_ = true;
            session_->end_data(stream_);
        }
    }

    void fail(execution state, reason why)
    {
        if (auto to = std::move(receiver_))
            to->on_failure({{state, why}, std::nullopt});
    }

    peer_links& owner_;
    peer_address to_;
    std::string name_;
    std::uint64_t incarnation_;
    std::string attempt_id_;
    std::string request_id_;
    std::string service_;
    std::string route_;
    bool repeatable_;
    std::shared_ptr<request::upload> body_;
    std::shared_ptr<request::attempt_receiver> receiver_;
    // Carries the request, or the question for its result.
    std::shared_ptr<session> session_;
    // Carried the request.
    std::shared_ptr<session> sent_over_;
    // The other node ended the request's stream without looking at it.
    bool refused_unread_ = false;
    std::shared_ptr<connection_state> state_;
    stream_number stream_ = -1;
    std::uint64_t body_sent_ = 0;
    bool has_body_ = false;
    bool body_ended_ = false;
    bool responding_ = false;
    bool attaching_ = false;
    bool paused_ = false;
    std::size_t unconsumed_bytes_ = 0;
};

// One message to another node and its reply.
class peer_links::message final : public connection::peer::stream_events,
                                  public std::enable_shared_from_this<message>
{
public:
    message(peer_links& owner, const peer_address& to, reply_handler done)
        : owner_(owner), to_(to), loop_(owner.loop_), done_(std::move(done))
    {
    }

    void begin(const std::shared_ptr<session>& over, std::string_view path,
               const std::string& body, duration limit)
    {
        session_ = over;
        header_list headers;
        headers.add(":method", "POST");
        headers.add(path_header, path);
        owner_.introduce(headers, *over);
        // Otherwise the time includes that of connecting.
        if (over->established() && body.size() <= max_short_reply_bytes)
            begun_at_ = loop_.now();
        stream_ = over->request(headers, true, shared_from_this());
        if (stream_ < 0) {
            finish(std::nullopt);
            return;
        }
        over->send_data(stream_, body);
        over->end_data(stream_);
        timer_ = loop_.call_after(
            limit, [self = shared_from_this()] { self->timed_out(); });
        waiting_ = true;
    }

    void on_data(std::string_view bytes) override
    {
        if (reply_.size() + bytes.size() > max_reply_bytes) {
            session_->reset(stream_);
            finish(std::nullopt);
            return;
        }
        reply_.append(bytes);
        session_->consumed(stream_, bytes.size());
    }
    void on_end() override
    {
        if (begun_at_ && reply_.size() <= max_short_reply_bytes)
            owner_.load_balancer_.record_round_trip(name_of(to_),
                                                    loop_.now() - *begun_at_);
        finish(std::move(reply_));
    }
    void on_closed(stream_close) override { finish(std::nullopt); }

private:
    void timed_out()
    {
        waiting_ = false;
        session_->reset(stream_);
        finish(std::nullopt);
    }

    void finish(std::optional<std::string> reply)
    {
        auto self = shared_from_this();
        if (waiting_)
            loop_.cancel(timer_);
        waiting_ = false;
        if (auto done = std::move(done_)) {
            done_ = {};
            done(std::move(reply));
        }
    }

    peer_links& owner_;
    peer_address to_;
    loop::reactor& loop_;
    reply_handler done_;
    std::optional<time_point> begun_at_;
    std::shared_ptr<session> session_;
    stream_number stream_ = -1;
    std::string reply_;
    timer_id timer_{};
    bool waiting_ = false;
};

peer_links::peer_links(loop::reactor& loop, counters& counts,
                       const fleet::fleet_view& fleet,
                       routing::load_balancer& load_balancer)
    : loop_(loop), counts_(counts), fleet_(fleet),
      load_balancer_(load_balancer), last_tick_(loop.now())
{
    tick();
}

peer_links::~peer_links()
{
    loop_.cancel(timer_);
    close();
}

void peer_links::close()
{
    closed_ = true;
    std::vector<std::shared_ptr<session>> all;
    for (const auto& [name, it] : links_)
        if (it.session)
            all.push_back(it.session);
    for (const auto& it : all)
        it->drop();
}

std::shared_ptr<request::attempt>
peer_links::start(const fleet::instance& at,
                  const request::attempt_request& what,
                  const std::shared_ptr<request::attempt_receiver>& receiver)
{
    auto it = std::make_shared<remote_attempt>(*this, at, what, receiver);
    it->begin(what);
    return it;
}

void peer_links::call(const peer_address& to, std::string_view path,
                      const std::string& body, duration limit,
                      reply_handler done)
{
    if (closed_) {
        done(std::nullopt);
        return;
    }
    auto it = std::make_shared<message>(*this, to, std::move(done));
    it->begin(session_for(find_or_add_link(to)), path, body, limit);
}

void peer_links::reconnect_now(const std::string& name)
{
    auto found = links_.find(name);
    if (found == links_.end() || closed_)
        return;
    auto& of = found->second;
    if (of.session) {
        if (of.session->established() ||
            loop_.now() - of.opened_at < usual_connect_time)
            return;
        // The first SYN got no answer, probably because the node had not
        // started yet. TCP would retransmit it only after a second.
        auto stale = std::move(of.session);
        of.session.reset();
        stale->drop();
    } else if (of.reachable) {
        return;
    }
    session_for(of);
}

bool peer_links::reachable(const std::string& name) const
{
    auto it = links_.find(name);
    return it == links_.end() || it->second.reachable;
}

bool peer_links::answers(const std::string& name) const
{
    auto it = links_.find(name);
    return it != links_.end() && it->second.reachable && it->second.session &&
           it->second.session->established() &&
           loop_.now() - it->second.session->heard() < recent_answer_time;
}

bool peer_links::presumed_dead(const std::string& name) const
{
    auto it = links_.find(name);
    return it != links_.end() && it->second.presumed_dead;
}

std::size_t peer_links::unreachable() const
{
    std::size_t n = 0;
    for (const auto& [name, it] : links_) {
        bool is_connecting = it.session && !it.session->established() &&
                             loop_.now() - it.opened_at > usual_connect_time;
        if ((!it.reachable || is_connecting) && fleet_.find(name) != nullptr)
            ++n;
    }
    return n;
}

bool peer_links::is_partitioned() const
{
    std::size_t lost = 0;
    for (const auto& [name, it] : links_) {
        if (const auto* known = fleet_.find(name);
            known == nullptr || !known->takes_calls())
            continue;
        if (it.reachable)
            return false;
        ++lost;
    }
    return lost >= min_unreachable_links;
}

peer_links::link& peer_links::find_or_add_link(const peer_address& to)
{
    auto name = name_of(to);
    auto& it = links_[name];
    it.to = to;
    return it;
}

std::shared_ptr<session> peer_links::session_for(link& of)
{
    auto now = loop_.now();
    of.used_at = now;
    if (of.session) {
        // The other end of an idle connection may be gone without notice.
        if (now - of.session->heard() > ping_idle_time &&
            !of.session->ping_waiting()) {
            of.ping_at = now;
            of.session->ping();
        }
        return of.session;
    }
    auto name = name_of(of.to);
    of.opened_at = now;
    std::shared_ptr<cross_domain_traffic::link> traffic;
    if (traffic_ != nullptr)
        traffic = traffic_->make_link(cross_domain_traffic::role::client);
    of.state = std::make_shared<connection_state>(loop_, traffic);
    find_domain(name, of);
    of.session = session::connect(
        loop_, of.to,
        [this, name](const std::shared_ptr<session>& which) {
            handle_session_closed(name, which);
        },
        traffic);
    of.session->on_round_trip([this, name](duration took) {
        load_balancer_.record_round_trip(name, took);
    });
    ++counts_.at("peer_connections_opened");
    return of.session;
}

void peer_links::introduce(header_list& headers, const session& over) const
{
    if (over.head_sent())
        return;
    headers.add(form_header, compact_form);
    if (traffic_ != nullptr)
        headers.add(domain_header, traffic_->own_domain());
}

// A node of the seeds is known only after its first message.
void peer_links::find_domain(const std::string& name, const link& of) const
{
    const auto& traffic = of.state->traffic();
    if (!traffic || traffic->domain_known())
        return;
    if (const auto* known = fleet_.find(name))
        traffic->set_domain(known->failure_domain);
}

void peer_links::handle_session_closed(const std::string& name,
                                       const std::shared_ptr<session>& which)
{
    auto it = links_.find(name);
    if (it == links_.end() || it->second.session != which)
        return;
    auto& of = it->second;
    of.session.reset();
    of.lost_at = loop_.now();
    of.backoff =
        of.reachable ? initial_backoff : std::min(of.backoff * 2, max_backoff);
    set_reachable(name, of, false);
}

void peer_links::set_reachable(const std::string& name, link& of,
                               bool reachable)
{
    if (of.reachable == reachable)
        return;
    of.reachable = reachable;
    of.unreachable_since = loop_.now();
    if (reachable)
        set_presumed_dead(name, of, false);
    load_balancer_.set_reachable(name, reachable);
    if (telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=" << (reachable ? "peer_regained" : "peer_lost")
            << field("peer", name);
}

void peer_links::set_presumed_dead(const std::string& name, link& of, bool dead)
{
    if (of.presumed_dead == dead)
        return;
    of.presumed_dead = dead;
    ++liveness_revision_;
    if (telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=" << (dead ? "peer_presumed_dead" : "peer_alive")
            << field("peer", name);
    if (on_liveness_)
        on_liveness_();
}

void peer_links::tick()
{
    auto now = loop_.now();
    // After a pause of this process, answers may have arrived but not been read
    // yet.
    if (now - last_tick_ > max_tick_delay)
        for (auto& [name, it] : links_)
            it.ping_at = it.opened_at = it.unreachable_since = now;
    last_tick_ = now;
    std::vector<std::string> names;
    for (const auto& [name, it] : links_)
        names.push_back(name);
    if (!ping_idle_links_)
        ping_idle_links_since_ = now;
    for (const auto& name : names)
        check_link(name, links_[name], now);
    if (now - ping_idle_links_since_ > ping_idle_time)
        ping_idle_links_ = false;
    for (auto& [name, it] : links_)
        if (!it.reachable && now - it.unreachable_since > presumed_dead_time)
            set_presumed_dead(name, it, true);
    timer_ = loop_.call_after(tick_period, [this] { tick(); });
}

void peer_links::check_link(const std::string& name, link& of, time_point now)
{
    if (!of.session) {
        const auto* known = fleet_.find(name);
        // A node whose backend server has left may have to be told of it after
        // a restart.
        bool wanted = known != nullptr && !known->leaving &&
                      (known->takes_calls() || known->has_left());
        if (wanted && !of.reachable && now - of.lost_at > of.backoff)
            session_for(of);
        return;
    }
    find_domain(name, of);
    auto session = of.session;
    if (session->streams() > 0) {
        of.used_at = now;
    } else if (now - of.used_at > idle_timeout) {
        // Reset first, so that the link does not count as lost.
        of.session.reset();
        session->drop();
        return;
    }
    if (!session->established()) {
        if (now - of.opened_at > connect_timeout)
            session->drop();
        return;
    }
    if (session->ping_waiting()) {
        auto silent = now - std::max(session->heard(), of.ping_at);
        if (silent > drop_timeout)
            session->drop();
        else if (silent > suspect_timeout && of.reachable) {
            set_reachable(name, of, false);
            ping_idle_links_ = true;
            session->tell_silent();
        }
        return;
    }
    set_reachable(name, of, true);
    bool asked = session->streams() > 0 || ping_idle_links_;
    if (asked && now - session->heard() > ping_idle_time) {
        of.ping_at = now;
        session->ping();
    }
}

} // namespace shallotwood::process::sidecar
