#include "connection/body_receiver.hpp"

#include <utility>

namespace shallotwood::connection
{

void receive_body(const std::shared_ptr<server_exchange>& exchange,
                  std::function<void(std::shared_ptr<request_body>)> ready)
{
    auto body = std::make_shared<request_body>(exchange->request_length());
    std::weak_ptr<server_exchange> from = exchange;
    body->on_wanted([from] {
        if (auto it = from.lock())
            it->read_more();
    });
    auto once =
        std::make_shared<std::function<void(std::shared_ptr<request_body>)>>(
            std::move(ready));
    auto start = [body, once] {
        if (auto call = std::exchange(*once, nullptr))
            call(body);
    };
    exchange->read_body(
        [from, body, start](std::string_view chunk) {
            body->append(chunk);
            auto it = from.lock();
            if (body->prefix_full())
                start();
            else if (it)
                it->read_more();
        },
        [body, start] {
            body->finish();
            start();
        });
}

} // namespace shallotwood::connection
