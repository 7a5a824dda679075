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

// Connections to the platform, each for calls and for watches.
constexpr int max_connections = 256;
constexpr unsigned idle_seconds = 30;

// A page of a list holds objects of at most 1 MB in all, or a single one; JSON
// escapes may lengthen a value.
constexpr std::size_t max_answer_bytes = 8'000'000;
constexpr std::size_t max_list_objects = 20'000;
constexpr std::size_t max_list_bytes = 64'000'000;

// libsoup has no name for it.
constexpr unsigned status_too_many_requests = 429;

constexpr const char* version_header = "Object-Version";
constexpr const char* expected_header = "Expected-Version";

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

std::optional<std::uint64_t> parse_version(const char* text)
{
    if (!text)
        return std::nullopt;
    std::string_view all(text);
    std::uint64_t version = 0;
    const auto* end = all.data() + all.size();
    auto [rest, ec] = std::from_chars(all.data(), end, version);
    if (ec != std::errc() || rest != end || version == 0)
        return std::nullopt;
    return version;
}

std::optional<stored_object> read_object(const Json::Value& json)
{
    if (!json.isObject() || !json["name"].isString() ||
        !json["version"].isUInt64() || !json["value"].isString())
        return std::nullopt;
    return stored_object{json["name"].asString(), json["version"].asUInt64(),
                         json["value"].asString()};
}

struct list_page_content {
    std::vector<stored_object> objects;
    // Name to go on after; empty on the last page.
    std::string next;
};

std::optional<list_page_content> read_page(const std::string& body)
{
    auto json = parse_json(body);
    if (!json || !json->isObject() || !(*json)["objects"].isArray() ||
        !(*json)["next"].isString())
        return std::nullopt;
    list_page_content page;
    for (const auto& it : (*json)["objects"]) {
        auto object = read_object(it);
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

struct platform_client::request {
    const char* method = "GET";
    std::string path;
    duration timeout{};
    // For PUT only.
    std::optional<std::uint64_t> expected_version;
    std::string value;
};

struct platform_client::answer {
    // Times that the request began to be written to a connection. libsoup sends
    // a request again if a connection that it reused turns out to be closed.
    int sends = 0;
    // 0 if no complete answer came.
    unsigned status = 0;
    std::optional<std::uint64_t> version;
    std::string body;
};

struct platform_client::watch_state {
    std::string name;
    std::uint64_t seen_version = 0;
    std::function<void(get_result)> on_change;
    duration backoff{};
    time_point poll_started;
    // Of the poll in progress, or 0.
    std::uint64_t exchange = 0;
    timer_id timer{};
};

// One HTTP request and its answer. Owned by the client until it ends, and kept
// alive by libsoup's callback until that ran.
class platform_client::exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(platform_client& owner, std::uint64_t id, const request& it,
             on_answer done)
        : owner_(&owner), id_(id), done_(std::move(done)),
          cancellable_(g_cancellable_new()),
          message_(
              soup_message_new(it.method, (owner.base_uri_ + it.path).c_str()))
    {
        soup_message_add_flags(message_, SOUP_MESSAGE_NO_REDIRECT);
        if (it.expected_version)
            add_body(*it.expected_version, it.value);
        g_signal_connect(message_, "starting",
                         G_CALLBACK(&exchange::on_starting), this);
        g_signal_connect(message_, "got-headers",
                         G_CALLBACK(&exchange::on_headers), this);
    }

    ~exchange()
    {
        g_signal_handlers_disconnect_by_data(message_, this);
        g_object_unref(message_);
        g_object_unref(cancellable_);
    }

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    void start(SoupSession* through, duration timeout)
    {
        timer_ = owner_->loop_.call_after(timeout, [this] { on_timeout(); });
        soup_session_send_and_read_async(
            through, message_, G_PRIORITY_DEFAULT, cancellable_,
            &exchange::on_done,
            new std::shared_ptr<exchange>(shared_from_this()));
    }

    // The callback of the exchange will not be called.
    void abandon()
    {
        owner_->loop_.cancel(timer_);
        owner_ = nullptr;
        g_cancellable_cancel(cancellable_);
    }

    on_answer take_callback() { return std::move(done_); }

private:
    void add_body(std::uint64_t expected_version, const std::string& value)
    {
        auto* headers = soup_message_get_request_headers(message_);
        soup_message_headers_replace(headers, expected_header,
                                     std::to_string(expected_version).c_str());
        auto* bytes = g_bytes_new(value.data(), value.size());
        soup_message_set_request_body_from_bytes(
            message_, "application/octet-stream", bytes);
        g_bytes_unref(bytes);
    }

    void on_timeout()
    {
        timer_ = {};
        g_cancellable_cancel(cancellable_);
    }

    static void on_starting(SoupMessage* /*message*/, exchange* self)
    {
        ++self->answer_.sends;
    }

    // Refuses an answer whose size is not known to be within the bound.
    static void on_headers(SoupMessage* message, exchange* self)
    {
        auto* headers = soup_message_get_response_headers(message);
        auto status = soup_message_get_status(message);
        bool empty = status == SOUP_STATUS_NO_CONTENT;
        bool sized = soup_message_headers_get_encoding(headers) ==
                     SOUP_ENCODING_CONTENT_LENGTH;
        auto length = soup_message_headers_get_content_length(headers);
        if (!empty &&
            (!sized || length > static_cast<goffset>(max_answer_bytes)))
            g_cancellable_cancel(self->cancellable_);
    }

    static void on_done(GObject* source, GAsyncResult* result, gpointer data)
    {
        std::unique_ptr<std::shared_ptr<exchange>> self(
            static_cast<std::shared_ptr<exchange>*>(data));
        GError* error = nullptr;
        auto* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                        result, &error);
        g_clear_error(&error);
        if (bytes) {
            (*self)->read(bytes);
            g_bytes_unref(bytes);
        }
        (*self)->end();
    }

    void read(GBytes* bytes)
    {
        gsize size = 0;
        const auto* data =
            static_cast<const char*>(g_bytes_get_data(bytes, &size));
        answer_.status = soup_message_get_status(message_);
        answer_.version = parse_version(soup_message_headers_get_one(
            soup_message_get_response_headers(message_), version_header));
        if (size > 0)
            answer_.body.assign(data, size);
    }

    void end()
    {
        if (!owner_)
            return;
        owner_->loop_.cancel(timer_);
        owner_->finish(id_, answer_);
    }

    // Null once abandoned.
    platform_client* owner_;
    std::uint64_t id_;
    on_answer done_;
    GCancellable* cancellable_;
    SoupMessage* message_;
    timer_id timer_{};
    answer answer_;
};

platform_client::platform_client(const peer_address& platform, event_loop& loop,
                                 random_source& random, platform_limits limits)
    : base_uri_("http://" + to_text(platform)), loop_(loop), random_(random),
      limits_(limits), calls_(make_session()), polls_(make_session())
{
}

platform_client::~platform_client()
{
    for (auto& [id, it] : watches_)
        loop_.cancel(it.timer);
    for (auto& [id, it] : exchanges_)
        it->abandon();
}

platform_client::session platform_client::make_session()
{
    session it(soup_session_new_with_options(
        "max-conns", max_connections, "max-conns-per-host", max_connections,
        "idle-timeout", idle_seconds, nullptr));
    // The platform is always connected to directly, whatever the environment
    // says about proxies.
    soup_session_set_proxy_resolver(it.get(), nullptr);
    // An answer that expands when it is decoded would escape the size bound.
    soup_session_remove_feature_by_type(it.get(), SOUP_TYPE_CONTENT_DECODER);
    return it;
}

std::uint64_t platform_client::send(SoupSession* through, const request& it,
                                    on_answer done)
{
    auto id = ++last_id_;
    auto created = std::make_shared<exchange>(*this, id, it, std::move(done));
    exchanges_.emplace(id, created);
    created->start(through, it.timeout);
    return id;
}

void platform_client::finish(std::uint64_t id, const answer& it)
{
    if (it.status != 0)
        last_answer_ = loop_.now();
    auto found = exchanges_.find(id);
    auto done = found->second->take_callback();
    // The answer belongs to the exchange, which the caller keeps alive.
    exchanges_.erase(found);
    done(it);
}

template <typename Result>
bool platform_client::admit(const std::function<void(Result)>& done)
{
    if (call_count_ < limits_.max_calls) {
        ++call_count_;
        return true;
    }
    loop_.call_after(duration(0), [done] { done(store_error::rate_limited); });
    return false;
}

get_result platform_client::get_outcome(const std::string& name,
                                        const answer& it)
{
    switch (it.status) {
    case SOUP_STATUS_OK:
        if (it.version)
            return stored_object{name, *it.version, it.body};
        return store_error::unavailable;
    case SOUP_STATUS_NOT_FOUND:
        return store_error::not_found;
    case status_too_many_requests:
        return store_error::rate_limited;
    default:
        // A read has no effect, so a lost answer counts as not executed.
        return store_error::unavailable;
    }
}

put_result platform_client::put_outcome(const answer& it)
{
    if (it.sends == 0)
        return store_error::unavailable;
    if (it.status == SOUP_STATUS_OK && it.version)
        return *it.version;
    // These refuse this sending of the request; an earlier one may have taken
    // effect, and a conflict may be with that very write.
    if (it.sends == 1) {
        if (it.status == SOUP_STATUS_CONFLICT)
            return store_error::conflict;
        if (it.status == status_too_many_requests)
            return store_error::rate_limited;
    }
    return store_error::unknown_outcome;
}

void platform_client::get(const std::string& name,
                          std::function<void(get_result)> done)
{
    if (!admit(done))
        return;
    request it;
    it.path = object_path(name);
    it.timeout = limits_.call_timeout;
    send(calls_.get(), it,
         [this, name, done = std::move(done)](const answer& got) {
             --call_count_;
             done(get_outcome(name, got));
         });
}

void platform_client::put(const std::string& name, const std::string& value,
                          std::uint64_t expected_version,
                          std::function<void(put_result)> done)
{
    if (!admit(done))
        return;
    request it;
    it.method = "PUT";
    it.path = object_path(name);
    it.timeout = limits_.call_timeout;
    it.expected_version = expected_version;
    it.value = value;
    send(calls_.get(), it, [this, done = std::move(done)](const answer& got) {
        --call_count_;
        done(put_outcome(got));
    });
}

void platform_client::list(const std::string& prefix,
                           std::function<void(list_result)> done)
{
    if (!admit(done))
        return;
    list_page(prefix, "", {}, [this, done = std::move(done)](auto result) {
        --call_count_;
        done(std::move(result));
    });
}

void platform_client::list_page(const std::string& prefix,
                                const std::string& after,
                                std::vector<stored_object> found,
                                std::function<void(list_result)> done)
{
    request it;
    it.path = "/objects?prefix=" + escaped(prefix, nullptr) +
              "&after=" + escaped(after, nullptr);
    it.timeout = limits_.call_timeout;
    send(calls_.get(), it,
         [this, prefix, after, found = std::move(found),
          done = std::move(done)](const answer& got) mutable {
             if (got.status == status_too_many_requests) {
                 done(store_error::rate_limited);
                 return;
             }
             auto page = got.status == SOUP_STATUS_OK ? read_page(got.body)
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
             // A page that makes no progress would repeat for ever.
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
    auto id = ++last_id_;
    if (watches_.size() >= limits_.max_watches) {
        loop_.call_after(duration(0), [on_change = std::move(on_change)] {
            on_change(store_error::rate_limited);
        });
        return watch_id{id};
    }
    watch_state it;
    it.name = name;
    it.seen_version = after_version;
    it.on_change = std::move(on_change);
    it.backoff = limits_.first_backoff;
    it.timer = loop_.call_after(duration(0), [this, id] { poll(id); });
    watches_.emplace(id, std::move(it));
    return watch_id{id};
}

void platform_client::cancel(watch_id id)
{
    auto it = watches_.find(static_cast<std::uint64_t>(id));
    if (it == watches_.end())
        return;
    loop_.cancel(it->second.timer);
    auto running = exchanges_.find(it->second.exchange);
    if (running != exchanges_.end()) {
        running->second->abandon();
        exchanges_.erase(running);
    }
    watches_.erase(it);
}

void platform_client::poll(std::uint64_t id)
{
    auto& state = watches_.at(id);
    state.timer = {};
    state.poll_started = loop_.now();
    auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        limits_.watch_wait);
    request it;
    it.path = object_path(state.name) +
              "?after=" + std::to_string(state.seen_version) +
              "&wait_ms=" + std::to_string(wait.count());
    it.timeout = limits_.watch_wait + limits_.watch_grace;
    state.exchange = send(polls_.get(), it,
                          [this, id](const answer& got) { on_poll(id, got); });
}

void platform_client::on_poll(std::uint64_t id, const answer& it)
{
    auto& state = watches_.at(id);
    state.exchange = 0;
    auto earliest = state.poll_started + limits_.watch_min_interval;
    auto wait = std::max(earliest - loop_.now(), duration(0));
    std::optional<get_result> event;
    if (it.status == SOUP_STATUS_NO_CONTENT) {
        state.backoff = limits_.first_backoff;
    } else {
        event = get_outcome(state.name, it);
        if (auto* object = std::get_if<stored_object>(&*event)) {
            state.backoff = limits_.first_backoff;
            if (object->version > state.seen_version)
                state.seen_version = object->version;
            else
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
