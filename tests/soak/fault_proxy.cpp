#include "soak/fault_proxy.hpp"

#include <stdexcept>

namespace shallotwood::soak
{

using connection::net::byte_stream;
using connection::net::stream_end;

namespace
{

constexpr process::duration delay = std::chrono::milliseconds(150);

// For what was passed on to be read before the connection is gone.
constexpr process::duration linger = std::chrono::seconds(1);

} // namespace

// Two connections that pass their bytes to each other.
struct fault_proxy::pair : std::enable_shared_from_this<pair> {
    explicit pair(fault_proxy& of) : owner(of) {}
    void passed(const side& from, std::string_view bytes);
    void ended(stream_end how);

    fault_proxy& owner;
    std::shared_ptr<side> caller;
    std::shared_ptr<side> target;
    bool silenced = false;
};

class fault_proxy::side final : public byte_stream
{
public:
    side(process::loop::reactor& loop, int fd, std::weak_ptr<pair> of)
        : byte_stream(loop, fd), pair_(std::move(of))
    {
    }
    side(process::loop::reactor& loop, const process::peer_address& to,
         std::weak_ptr<pair> of)
        : byte_stream(loop, to, {}), pair_(std::move(of))
    {
    }
    void open() { start(); }

private:
    void on_bytes(std::string_view bytes) override
    {
        if (auto it = pair_.lock())
            it->passed(*this, bytes);
    }
    void on_end(stream_end how) override
    {
        if (auto it = pair_.lock())
            it->ended(how);
    }

    std::weak_ptr<pair> pair_;
};

void fault_proxy::pair::passed(const side& from, std::string_view bytes)
{
    bool from_caller = &from == caller.get();
    bool dropped = silenced || owner.line_ == line::silent ||
                   (owner.line_ == line::one_way && !from_caller);
    if (dropped) {
        // What follows a gap is not passed either: TCP has no gaps.
        silenced = true;
        return;
    }
    auto to = from_caller ? target : caller;
    if (owner.line_ != line::delayed) {
        to->send(bytes);
        return;
    }
    owner.loop_.call_after(delay,
                           [to, text = std::string(bytes)] { to->send(text); });
}

void fault_proxy::pair::ended(stream_end how)
{
    auto self = shared_from_this();
    owner.pairs_.erase(self);
    // A peer behind a silent line learns nothing of the end.
    if (silenced)
        return;
    for (const auto& it : {caller, target})
        if (how == stream_end::broken)
            it->abort();
        else
            it->finish(linger);
}

fault_proxy::fault_proxy(process::loop::reactor& loop,
                         process::peer_address target)
    : loop_(loop), target_(std::move(target)),
      listener_(loop, [this](int fd) { accepted(fd); })
{
    if (auto text = listener_.listen({"127.0.0.1", 0}); !text.empty())
        throw std::runtime_error("proxy: " + text);
}

fault_proxy::~fault_proxy()
{
    reset_open();
}

process::peer_address fault_proxy::address() const
{
    return {"127.0.0.1", listener_.port()};
}

void fault_proxy::accepted(int fd)
{
    auto it = std::make_shared<pair>(*this);
    it->caller = std::make_shared<side>(loop_, fd, it);
    it->target = std::make_shared<side>(loop_, target_, it);
    pairs_.insert(it);
    it->caller->open();
    it->target->open();
}

void fault_proxy::silence_open()
{
    for (const auto& it : pairs_)
        it->silenced = true;
}

void fault_proxy::reset_open()
{
    auto all = std::move(pairs_);
    pairs_.clear();
    for (const auto& it : all) {
        it->caller->abort();
        it->target->abort();
    }
}

} // namespace shallotwood::soak
