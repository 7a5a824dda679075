#include "process/platform_client.hpp"

#include "process/address.hpp"
#include "process/json_text.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace shallotwood::process
{

namespace
{

// Limit of connections to the platform, separately for calls and for watches.
constexpr int max_connections = 256;

// A list page holds a single object, or several of at most 1 MB together. JSON
// escapes can make the response longer than that.
constexpr std::size_t max_response_bytes = 8'000'000;
constexpr std::size_t max_list_objects = 20'000;
constexpr std::size_t max_list_bytes = 64'000'000;

// libsoup has no constant for this status.
constexpr unsigned status_too_many_requests = 429;

constexpr const char* version_header = "Object-Version";
constexpr const char* expected_header = "Expected-Version";
constexpr const char* era_header = "Store-Era";

std::string escaped(const std::string& text, const char* allowed)
{
    auto* raw = g_uri_escape_string(text.c_str(), allowed, FALSE);
    std::string result(raw);
    g_free(raw);
    return result;
}

std::string object_path(const std::string& name)
{
    return "/objects/" + escaped(name, "/");
}

// The header as a number above 0.
std::optional<std::uint64_t> parse_header(const http::http_response& answer,
                                          const char* name)
{
    auto found = answer.headers.find(name);
    if (found == answer.headers.end())
        return std::nullopt;
    std::string_view all(found->second);
    std::uint64_t number = 0;
    const auto* end = all.data() + all.size();
    auto [rest, ec] = std::from_chars(all.data(), end, number);
    if (ec != std::errc() || rest != end || number == 0)
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> parse_version(const http::http_response& answer)
{
    return parse_header(answer, version_header);
}

std::optional<stored_object> parse_object(const Json::Value& json)
{
    if (!json.isObject() || !json["name"].isString() ||
        !json["version"].isUInt64() || !json["value"].isString())
        return std::nullopt;
    return stored_object{json["name"].asString(), json["version"].asUInt64(),
                         json["value"].asString()};
}

struct list_page_content {
    std::vector<stored_object> objects;
    // The next page starts after this name; empty on the last page.
    std::string next;
};

std::optional<list_page_content> parse_list_page(const std::string& body)
{
    auto json = parse_json(body);
    if (!json || !json->isObject() || !(*json)["objects"].isArray() ||
        !(*json)["next"].isString())
        return std::nullopt;
    list_page_content page;
    for (const auto& it : (*json)["objects"]) {
        auto object = parse_object(it);
        if (!object)
            return std::nullopt;
        page.objects.push_back(std::move(*object));
    }
    page.next = (*json)["next"].asString();
    return page;
}

std::size_t total_bytes(const std::vector<stored_object>& objects)
{
    std::size_t total = 0;
    for (const auto& it : objects)
        total += it.value.size();
    return total;
}

} // namespace

struct platform_client::watch_state {
    std::string name;
    watch_position position;
    std::function<void(get_result)> on_change;
    duration backoff{};
    time_point poll_started;
    // Request ID of the poll in progress, or 0.
    std::uint64_t poll_request_id = 0;
    timer_id timer{};
};

platform_client::platform_client(const peer_address& platform, event_loop& loop,
                                 random_source& random, platform_limits limits)
    : base_uri_("http://" + to_text(platform)), loop_(loop), random_(random),
      limits_(limits), calls_(loop, max_connections),
      polls_(loop, max_connections)
{
}

platform_client::~platform_client()
{
    for (auto& [id, it] : watches_)
        loop_.cancel(it.timer);
}

template <typename Result>
bool platform_client::try_begin_call(const std::function<void(Result)>& done)
{
    if (calls_in_progress_ < limits_.max_calls) {
        ++calls_in_progress_;
        return true;
    }
    loop_.call_after(duration(0), [done] { done(store_error::rate_limited); });
    return false;
}

http::http_request platform_client::make_request(const std::string& path,
                                                 duration limit) const
{
    http::http_request it;
    it.uri = base_uri_ + path;
    it.time_limit = limit;
    it.max_response_bytes = max_response_bytes;
    it.response_header_names = {version_header, era_header};
    return it;
}

void platform_client::send_request(const http::http_request& request,
                                   http::http_client::response_callback done)
{
    calls_.send(request, [this, done = std::move(done)](
                             const http::http_response& response) {
        done(accept(response));
    });
}

http::http_response platform_client::accept(const http::http_response& response)
{
    if (response.status == 0)
        return response;
    last_response_time_ = loop_.now();
    if (era_.observe_and_log(parse_header(response, era_header)) !=
        store_era::response::outdated)
        return response;
    http::http_response lost;
    lost.sends = response.sends;
    return lost;
}

get_result platform_client::to_get_result(const std::string& name,
                                          const http::http_response& response)
{
    switch (response.status) {
    case SOUP_STATUS_OK:
        if (auto version = parse_version(response))
            return stored_object{name, *version, response.body};
        return store_error::unavailable;
    case SOUP_STATUS_NOT_FOUND:
        return store_error::not_found;
    case status_too_many_requests:
        return store_error::rate_limited;
    default:
        // A read has no effect, so a lost response counts as not executed.
        return store_error::unavailable;
    }
}

put_result platform_client::to_put_result(const http::http_response& response)
{
    if (response.sends == 0)
        return store_error::unavailable;
    if (auto version = parse_version(response);
        version && response.status == SOUP_STATUS_OK)
        return *version;
    // These statuses apply only to the last transmission of the request. If
    // it was sent more than once, an earlier transmission may have taken
    // effect, and a conflict may be with that same write.
    if (response.sends == 1) {
        if (response.status == SOUP_STATUS_CONFLICT)
            return store_error::conflict;
        if (response.status == SOUP_STATUS_NOT_FOUND)
            return store_error::not_found;
        if (response.status == status_too_many_requests)
            return store_error::rate_limited;
    }
    return store_error::unknown_outcome;
}

void platform_client::get(const std::string& name,
                          std::function<void(get_result)> done)
{
    if (!try_begin_call(done))
        return;
    send_request(make_request(object_path(name), limits_.call_timeout),
                 [this, name,
                  done = std::move(done)](const http::http_response& response) {
                     --calls_in_progress_;
                     done(to_get_result(name, response));
                 });
}

void platform_client::put(const std::string& name, const std::string& value,
                          std::uint64_t expected_version,
                          std::function<void(put_result)> done)
{
    if (!try_begin_call(done))
        return;
    send_write("PUT", name, value, expected_version, std::move(done));
}

void platform_client::remove(const std::string& name,
                             std::uint64_t expected_version,
                             std::function<void(put_result)> done)
{
    if (try_begin_call(done))
        send_write("DELETE", name, {}, expected_version, std::move(done));
}

void platform_client::send_write(const char* method, const std::string& name,
                                 const std::string& value,
                                 std::uint64_t expected_version,
                                 std::function<void(put_result)> done)
{
    auto it = make_request(object_path(name), limits_.call_timeout);
    it.method = method;
    it.header.emplace(expected_header, std::to_string(expected_version));
    it.body = value;
    send_request(it, [this, done = std::move(done)](
                         const http::http_response& response) {
        --calls_in_progress_;
        done(to_put_result(response));
    });
}

void platform_client::list(const std::string& prefix,
                           std::function<void(list_result)> done)
{
    if (!try_begin_call(done))
        return;
    list_page(prefix, "", {}, [this, done = std::move(done)](auto result) {
        --calls_in_progress_;
        done(std::move(result));
    });
}

void platform_client::list_page(const std::string& prefix,
                                const std::string& after,
                                std::vector<stored_object> found,
                                std::function<void(list_result)> done)
{
    auto path = "/objects?prefix=" + escaped(prefix, nullptr) +
                "&after=" + escaped(after, nullptr);
    send_request(
        make_request(path, limits_.call_timeout),
        [this, prefix, after, found = std::move(found),
         done = std::move(done)](const http::http_response& response) mutable {
            if (response.status == status_too_many_requests) {
                done(store_error::rate_limited);
                return;
            }
            auto page = response.status == SOUP_STATUS_OK
                            ? parse_list_page(response.body)
                            : std::nullopt;
            if (!page) {
                done(store_error::unavailable);
                return;
            }
            for (auto& object : page->objects)
                found.push_back(std::move(object));
            if (page->next.empty()) {
                done(std::move(found));
                return;
            }
            // A page that doesn't advance would be requested forever.
            if (page->next <= after || found.size() > max_list_objects ||
                total_bytes(found) > max_list_bytes) {
                done(store_error::unavailable);
                return;
            }
            list_page(prefix, page->next, std::move(found), std::move(done));
        });
}

watch_id platform_client::watch(const std::string& name,
                                std::uint64_t after_version,
                                std::function<void(get_result)> on_change)
{
    auto id = ++last_watch_;
    if (watches_.size() >= limits_.max_watches) {
        loop_.call_after(duration(0), [on_change = std::move(on_change)] {
            on_change(store_error::rate_limited);
        });
        return watch_id{id};
    }
    watch_state it{name,
                   watch_position(after_version),
                   std::move(on_change),
                   limits_.initial_backoff,
                   {},
                   0,
                   loop_.call_after(duration(0), [this, id] { poll(id); })};
    watches_.emplace(id, std::move(it));
    return watch_id{id};
}

void platform_client::cancel(watch_id id)
{
    auto it = watches_.find(static_cast<std::uint64_t>(id));
    if (it == watches_.end())
        return;
    loop_.cancel(it->second.timer);
    polls_.cancel_exchange(it->second.poll_request_id);
    watches_.erase(it);
}

void platform_client::poll(std::uint64_t id)
{
    auto& state = watches_.at(id);
    state.timer = {};
    state.poll_started = loop_.now();
    auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        limits_.watch_wait);
    auto path = object_path(state.name) +
                "?after=" + std::to_string(state.position.last_version()) +
                "&wait_ms=" + std::to_string(wait.count());
    state.poll_request_id = polls_.send(
        make_request(path, limits_.watch_wait + limits_.watch_grace),
        [this, id](const http::http_response& response) {
            on_poll_response(id, response);
        });
}

void platform_client::on_poll_response(std::uint64_t id,
                                       const http::http_response& received)
{
    auto response = accept(received);
    auto& state = watches_.at(id);
    state.poll_request_id = 0;
    auto earliest = state.poll_started + limits_.watch_min_interval;
    auto wait = std::max(earliest - loop_.now(), duration(0));
    std::optional<get_result> event;
    // In another era the next poll asks for any version.
    state.position.enter(era_.value());
    if (response.status == SOUP_STATUS_NO_CONTENT) {
        state.backoff = limits_.initial_backoff;
    } else {
        event = to_get_result(state.name, response);
        if (auto* object = std::get_if<stored_object>(&*event)) {
            state.backoff = limits_.initial_backoff;
            if (!state.position.take(object->version, era_.value()))
                event.reset();
        } else {
            auto half = static_cast<double>(state.backoff.count()) / 2;
            wait = duration(
                static_cast<duration::rep>(half + random_.unit() * half));
            state.backoff = std::min(state.backoff * 2, limits_.max_backoff);
        }
    }
    state.timer = loop_.call_after(wait, [this, id] { poll(id); });
    if (!event)
        return;
    // The callback may cancel the watch.
    auto on_change = state.on_change;
    on_change(std::move(*event));
}

} // namespace shallotwood::process
