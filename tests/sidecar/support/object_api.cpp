#include "sidecar/support/object_api.hpp"

#include "process/json_text.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace shallotwood::test
{

using namespace connection::http;

namespace
{

const std::string prefix = "/shallotwood/objects/";

std::map<std::string, std::string> parse_query(const std::string& text)
{
    std::map<std::string, std::string> fields;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, '&');) {
        auto equals = part.find('=');
        fields[part.substr(0, equals)] =
            equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return fields;
}

} // namespace

// Collects the body of a call.
class object_api::call final : public exchange
{
public:
    call(object_api& owner, connection_ptr from, request_head head)
        : owner_(owner), from_(std::move(from)), head_(std::move(head))
    {
    }
    void on_body(std::string_view bytes) override { body_ += bytes; }
    void on_body_end() override { owner_.handle(from_, head_, body_); }
    void on_left() override {}

private:
    object_api& owner_;
    connection_ptr from_;
    request_head head_;
    std::string body_;
};

object_api::object_api(process::loop::reactor& loop)
    : loop_(loop),
      server_(loop, [this](const connection_ptr& from, request_head&& head,
                           const message_info&) {
          return std::make_shared<call>(*this, from, std::move(head));
      })
{
    if (auto message = server_.listen({"127.0.0.1", 0}); !message.empty())
        throw std::runtime_error(message);
}

process::peer_address object_api::address() const
{
    return {"127.0.0.1", server_.port()};
}

void object_api::put(const std::string& kind, const std::string& name,
                     const Json::Value& spec)
{
    kinds_[kind][name] = {++revision_, spec, false, false};
    deleted_[kind].erase(name);
    wake();
}

void object_api::remove(const std::string& kind, const std::string& name)
{
    kinds_[kind].erase(name);
    deleted_[kind][name] = {++revision_, Json::Value(Json::objectValue), false,
                            true};
    wake();
}

void object_api::mark_deletion(const std::string& kind, const std::string& name)
{
    auto& it = kinds_[kind][name];
    it.revision = ++revision_;
    it.deletion_pending = true;
    wake();
}

void object_api::restore()
{
    std::tie(revision_, kinds_) = copy_;
    deleted_.clear();
    ++era_;
}

void object_api::handle(const connection_ptr& to, const request_head& head,
                        const std::string& body)
{
    ++calls;
    if (now == fault::reset) {
        to->respond_abort();
        return;
    }
    if (now == fault::busy || now == fault::many) {
        answer(to, now == fault::busy ? 503 : 429, Json::Value());
        return;
    }
    auto mark = head.target.find('?');
    auto path = head.target.substr(prefix.size(), mark - prefix.size());
    auto query = mark == std::string::npos
                     ? std::map<std::string, std::string>()
                     : parse_query(head.target.substr(mark + 1));
    auto slash = path.find('/');
    auto kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (head.method == "GET")
        get(to, kind, name, query);
    else
        write(to, head.method, kind, name, body);
}

void object_api::get(const connection_ptr& to, const std::string& kind,
                     const std::string& name,
                     const std::map<std::string, std::string>& query)
{
    auto& objects = kinds_[kind];
    if (!name.empty()) {
        auto it = objects.find(name);
        if (it == objects.end())
            answer(to, 404, Json::Value());
        else
            answer(to, 200, to_json(name, it->second));
        return;
    }
    if (auto it = query.find("watch"); it != query.end()) {
        auto from = std::stoull(it->second);
        if (from < history_from_ || from > revision_) {
            answer(to, 410, Json::Value());
            return;
        }
        watches_.push_back({kind, from, ++last_watch_, to});
        if (auto wait = query.find("wait_ms"); wait != query.end())
            loop_.call_after(
                std::chrono::milliseconds(std::stoll(wait->second)),
                guard_.wrap(
                    [this, number = last_watch_] { end_watch(number); }));
        wake();
        return;
    }
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    body["has_more"] = false;
    body["at_rev"] = Json::UInt64(revision_);
    auto after = query.count("after") != 0 ? query.at("after") : "";
    for (auto it = objects.upper_bound(after); it != objects.end(); ++it) {
        if (body["items"].size() == page) {
            body["has_more"] = true;
            break;
        }
        body["items"].append(to_json(it->first, it->second));
    }
    auto text = process::write_json(body);
    if (auto item = texts_.find(kind); item != texts_.end()) {
        const std::string start = "\"items\":[";
        text.insert(text.find(start) + start.size(),
                    item->second + (body["items"].empty() ? "" : ","));
    }
    answer_text(to, 200, text);
}

void object_api::write(const connection_ptr& to, const std::string& method,
                       const std::string& kind, std::string name,
                       const std::string& body)
{
    auto json = process::parse_json(body);
    if (!json) {
        answer(to, 400, Json::Value());
        return;
    }
    if (name.empty())
        name = (*json)["metadata"]["name"].asString();
    auto& objects = kinds_[kind];
    auto it = objects.find(name);
    bool exists = it != objects.end();
    const auto& expected = (*json)["metadata"]["rev"];
    if (method == "POST" && exists) {
        answer(to, 409, to_json(name, it->second));
        return;
    }
    if (method == "PUT" && !exists) {
        answer(to, 404, Json::Value());
        return;
    }
    if (method == "PUT" && !expected.isNull() &&
        expected.asUInt64() != it->second.revision) {
        answer(to, 409, to_json(name, it->second));
        return;
    }
    objects[name] = {++revision_, (*json)["spec"], false, false};
    answer(to, 200, to_json(name, objects[name]));
    wake();
}

void object_api::answer(const connection_ptr& to, int status,
                        const Json::Value& body)
{
    answer_text(to, status, process::write_json(body));
}

void object_api::answer_text(const connection_ptr& to, int status,
                             const std::string& body)
{
    if (now == fault::answer_lost)
        return;
    response_head head;
    head.status = status;
    head.headers.add("Content-Type", "application/json");
    head.headers.add("Store-Era", std::to_string(era_));
    to->respond(std::move(head), body);
}

Json::Value object_api::to_json(const std::string& name, const object& of) const
{
    Json::Value it;
    it["metadata"]["name"] = name;
    it["metadata"]["rev"] = Json::UInt64(of.revision);
    if (of.deletion_pending)
        it["metadata"]["deletion_pending"] = true;
    it["spec"] = of.spec;
    it["status"] = Json::Value();
    return it;
}

Json::Value object_api::events_since(const std::string& kind,
                                     std::uint64_t from) const
{
    std::map<std::uint64_t, std::pair<std::string, object>> newer;
    for (const auto* from_map : {&kinds_, &deleted_})
        if (auto objects = from_map->find(kind); objects != from_map->end())
            for (const auto& [name, it] : objects->second)
                if (it.revision > from)
                    newer[it.revision] = {name, it};
    Json::Value events(Json::arrayValue);
    for (const auto& [revision, it] : newer) {
        Json::Value event;
        event["deleted"] = it.second.deleted;
        event["object"] = to_json(it.first, it.second);
        events.append(event);
    }
    return events;
}

void object_api::end_watch(std::uint64_t number)
{
    auto it =
        std::find_if(watches_.begin(), watches_.end(),
                     [&](const auto& one) { return one.number == number; });
    if (it == watches_.end())
        return;
    auto to = it->to.lock();
    watches_.erase(it);
    if (!to || !to->is_open())
        return;
    Json::Value body;
    body["events"] = Json::Value(Json::arrayValue);
    body["at_rev"] = Json::UInt64(revision_);
    answer(to, 200, body);
}

void object_api::wake()
{
    auto waiting = std::move(watches_);
    watches_.clear();
    for (auto& it : waiting) {
        auto to = it.to.lock();
        if (!to || !to->is_open())
            continue;
        auto events = events_since(it.kind, it.from);
        if (events.empty()) {
            watches_.push_back(it);
            continue;
        }
        Json::Value body;
        body["events"] = events;
        body["at_rev"] = Json::UInt64(revision_);
        if (!std::exchange(lose_next_event, false))
            answer(to, 200, body);
    }
}

} // namespace shallotwood::test
