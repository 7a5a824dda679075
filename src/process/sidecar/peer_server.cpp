#include "process/sidecar/peer_server.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::process::sidecar
{

namespace
{

using connection::http::header_list;
using connection::peer::session;
using connection::peer::stream_close;
using connection::peer::stream_number;

// Largest message.
constexpr std::size_t max_message_bytes = std::size_t{4} * 1024 * 1024;

} // namespace

// An attempt on behalf of another node.
class peer_server::incoming_attempt final
    : public connection::peer::stream_events,
      public request::attempt_receiver,
      public std::enable_shared_from_this<incoming_attempt>
{
public:
    incoming_attempt(peer_server& owner, const session_ptr& from,
                     const state_ptr& state, stream_number stream)
        : owner_(owner), session_(from), state_(state), stream_(stream)
    {
    }

    void begin(request::attempt_request what)
    {
        body_ = what.body;
        service_ = what.service;
        route_ = what.route;
        request_id_ = what.request_id;
        state_->heard(service_, route_, what.speeds);
        if (owner_.load_balancer_ != nullptr)
            for (const auto& it : what.speeds)
                owner_.load_balancer_->speeds().record(service_, route_, it);
        pending_request_ =
            std::make_unique<request::attempt_request>(std::move(what));
    }

    void join(const std::string& attempt_id)
    {
        auto self = shared_from_this();
        if (auto it = owner_.executor_.attach(attempt_id, self); it && !ended_)
            attempt_ = it;
    }

    void on_data(std::string_view bytes) override
    {
        if (!body_)
            return;
        body_->append(bytes);
        auto n = bytes.size();
        if (!body_->full())
            consume(n);
        else
            unconsumed_bytes_ += n;
        if (body_->full())
            start_attempt();
    }

    void on_end() override
    {
        if (!body_)
            return;
        body_->finish();
        start_attempt();
    }

    void on_closed(stream_close how) override
    {
        auto self = shared_from_this();
        closed_ = true;
        pending_request_.reset();
        if (body_) {
            body_->on_more({});
            body_->on_space({});
        }
        auto it = std::move(attempt_);
        if (!it || ended_)
            return;
        if (how == stream_close::lost)
            it->detach();
        else
            it->cancel();
    }

    void on_drained() override
    {
        if (attempt_)
            attempt_->resume();
    }

    void on_load(const routing::load_report& it) override { load_ = it; }

    void on_response(connection::http::response_head&& head,
                     std::optional<std::uint64_t> length) override
    {
        if (closed_)
            return;
        auto reply = new_reply();
        reply.response = std::move(head);
        reply.length = length;
        responded_ = true;
        session_->respond(stream_, head_of(reply), true);
    }

    void on_response_body(std::string_view bytes) override
    {
        if (closed_)
            return;
        session_->send_data(stream_, bytes);
        if (attempt_ &&
            session_->unsent_on(stream_) > session::max_unsent_bytes)
            attempt_->pause();
    }

    void on_response_end() override
    {
        ended_ = true;
        if (!closed_)
            session_->end_data(stream_);
    }

    void on_failure(const request::attempt_failure& why) override
    {
        ended_ = true;
        if (closed_)
            return;
        if (responded_) {
            // The truncated response must not look complete.
            session_->reset(stream_);
            return;
        }
        auto reply = new_reply();
        reply.failure = why;
        session_->respond(stream_, head_of(reply), false);
    }

private:
    header_list head_of(const attempt_reply& reply) const
    {
        return to_headers(reply, state_->form(), request_id_);
    }

    attempt_reply new_reply() const
    {
        attempt_reply reply;
        auto self = owner_.self_();
        reply.load = load_;
        if (auto* balancer = owner_.load_balancer_)
            reply.speeds = state_->worth_telling(
                *balancer, service_, route_,
                balancer->speeds().select(service_, route_, {}));
        reply.incarnation = self.incarnation;
        reply.policy_revision = self.policy_revision;
        return reply;
    }

    void start_attempt()
    {
        if (!pending_request_)
            return;
        auto what = std::move(*pending_request_);
        pending_request_.reset();
        auto self = shared_from_this();
        body_->on_space([weak = weak_from_this()] {
            if (auto it = weak.lock())
                it->consume(std::exchange(it->unconsumed_bytes_, 0));
        });
        auto it = owner_.executor_.start(what, self);
        if (!ended_)
            attempt_ = std::static_pointer_cast<local_attempt>(it);
    }

    void consume(std::size_t bytes)
    {
        if (!closed_)
            session_->consumed(stream_, bytes);
    }

    peer_server& owner_;
    session_ptr session_;
    state_ptr state_;
    stream_number stream_;
    std::string request_id_;
    std::string service_;
    std::string route_;
    std::unique_ptr<request::attempt_request> pending_request_;
    std::shared_ptr<request::upload> body_;
    std::shared_ptr<local_attempt> attempt_;
    routing::load_report load_;
    std::size_t unconsumed_bytes_ = 0;
    bool responded_ = false;
    bool ended_ = false;
    bool closed_ = false;
};

// A message from another node.
class peer_server::incoming_message final
    : public connection::peer::stream_events
{
public:
    incoming_message(peer_server& owner, const session_ptr& from,
                     stream_number stream, std::string path)
        : owner_(owner), session_(from), stream_(stream), path_(std::move(path))
    {
    }

    void on_data(std::string_view bytes) override
    {
        too_large_ =
            too_large_ || body_.size() + bytes.size() > max_message_bytes;
        if (!too_large_)
            body_.append(bytes);
        session_->consumed(stream_, bytes.size());
    }

    void on_end() override
    {
        if (too_large_) {
            session_->reset(stream_);
            return;
        }
        auto reply = owner_.on_message_(path_, body_);
        header_list headers;
        headers.add(":status", "200");
        session_->respond(stream_, headers, true);
        session_->send_data(stream_, reply);
        session_->end_data(stream_);
    }

    void on_closed(stream_close) override {}

private:
    peer_server& owner_;
    session_ptr session_;
    stream_number stream_;
    std::string path_;
    std::string body_;
    bool too_large_ = false;
};

peer_server::peer_server(loop::reactor& loop, local_executor& executor,
                         identity_source self, message_handler on_message,
                         revision_handler on_revision)
    : loop_(loop), executor_(executor), self_(std::move(self)),
      on_message_(std::move(on_message)), on_revision_(std::move(on_revision)),
      listener_(loop, [this](int fd) { accept(fd); })
{
}

peer_server::~peer_server()
{
    close();
}

void peer_server::accept(int fd)
{
    std::shared_ptr<cross_domain_traffic::link> traffic;
    if (traffic_ != nullptr)
        traffic = traffic_->make_link(cross_domain_traffic::role::server);
    auto state = std::make_shared<connection_state>(loop_, traffic);
    sessions_.insert(session::accept(
        loop_, fd,
        [this, state](const session_ptr& from, stream_number stream,
                      header_list&& headers) {
            state->head_received(headers);
            if (const auto& it = state->traffic(); it && !it->domain_known())
                if (const auto* domain = headers.find(domain_header))
                    it->set_domain(*domain);
            return request(from, state, stream, std::move(headers));
        },
        [this](const session_ptr& which) { sessions_.erase(which); }, traffic));
}

void peer_server::close()
{
    listener_.stop();
    auto all = std::move(sessions_);
    sessions_.clear();
    for (const auto& it : all)
        it->drop(stream_close::reset);
}

bool peer_server::is_idle() const
{
    return std::all_of(sessions_.begin(), sessions_.end(), [](const auto& it) {
        return it->streams() == 0 && it->unsent() == 0;
    });
}

std::string peer_server::listen(const peer_address& address)
{
    return listener_.listen(address);
}

std::shared_ptr<connection::peer::stream_events>
peer_server::request(const session_ptr& from, const state_ptr& state,
                     stream_number stream, header_list&& headers)
{
    const auto* path = headers.find(path_header);
    if (path == nullptr)
        return nullptr;
    if (*path == peer_path::attach) {
        const auto* id = headers.find("sw-attempt");
        auto it =
            std::make_shared<incoming_attempt>(*this, from, state, stream);
        it->join(id == nullptr ? std::string() : *id);
        return it;
    }
    if (*path != peer_path::run && *path != peer_path::compact_run)
        return std::make_shared<incoming_message>(*this, from, stream, *path);
    auto it = std::make_shared<incoming_attempt>(*this, from, state, stream);
    auto what = attempt_from_headers(std::move(headers));
    if (!what) {
        it->on_failure(
            {{request::execution::not_run, request::reason::no_backend_server},
             std::nullopt});
        return it;
    }
    on_revision_(what->policy_revision);
    it->begin(std::move(*what));
    return it;
}

} // namespace shallotwood::process::sidecar
