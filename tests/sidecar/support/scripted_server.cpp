#include "sidecar/support/scripted_server.hpp"

#include <algorithm>
#include <stdexcept>

namespace shallotwood::test
{

void scripted_connection::on_bytes(std::string_view bytes)
{
    if (answered_early_)
        return;
    input_.append(bytes);
    while (is_open()) {
        auto end = input_.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        auto head = input_.substr(0, end);
        auto length = header_of(head, "Content-Length");
        std::size_t size = length.empty() ? 0 : std::stoul(length);
        if (when_ == answer_after::head ||
            (when_ == answer_after::head_of_long_body &&
             size > long_body_bytes)) {
            answered_early_ = true;
            handle_(*this, head, input_.substr(end + 4));
            return;
        }
        if (input_.size() < end + 4 + size)
            return;
        auto body = input_.substr(end + 4, size);
        input_.erase(0, end + 4 + size);
        handle_(*this, head, body);
    }
}

scripted_server::scripted_server(process::loop::reactor& loop,
                                 scripted_connection::handler handle,
                                 answer_after when)
    : listener_(loop, [this, &loop, when, handle = std::move(handle)](int fd) {
          auto it = std::make_shared<scripted_connection>(
              loop, fd,
              [this, handle](scripted_connection& from, const std::string& head,
                             const std::string& body) {
                  heads.push_back(head);
                  bodies.push_back(body);
                  handle(from, head, body);
              },
              when);
          connections_.push_back(it);
          it->open();
      })
{
    if (auto message = listener_.listen({"127.0.0.1", 0}); !message.empty())
        throw std::runtime_error(message);
}

process::peer_address scripted_server::address() const
{
    return {"127.0.0.1", listener_.port()};
}

bool scripted_server::all_ended() const
{
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& it) { return it->ended(); });
}

void scripted_server::stop()
{
    listener_.stop();
    for (const auto& it : connections_)
        it->abort();
}

std::string header_of(const std::string& head, const std::string& name)
{
    auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    at += name.size() + 4;
    return head.substr(at, std::min(head.find("\r\n", at), head.size()) - at);
}

} // namespace shallotwood::test
