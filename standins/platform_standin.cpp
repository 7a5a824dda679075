// A stand-in for the platform's object API, in memory and on the loopback
// interface only: rate limits, outages, delays and answers lost after the
// write, which a control endpoint switches while it runs. See
// docs/platform-api.md.
#include "process/glib_event_loop.hpp"
#include "process/json_text.hpp"
#include "process/log.hpp"
#include "process/object_store.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <glib-unix.h>
#include <iostream>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <optional>
#include <unistd.h>

namespace shallotwood::standins
{

namespace
{

using process::duration;
using process::stored_object;
using std::chrono::milliseconds;

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_objects = 200'000;
constexpr std::size_t max_total_bytes = 512'000'000;
constexpr std::size_t max_waiting = 10'000;
constexpr std::size_t max_page_objects = 1000;
constexpr std::size_t max_page_bytes = process::max_object_bytes;
constexpr std::size_t max_control_bytes = 4096;
constexpr milliseconds max_wait{60'000};
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_insufficient_storage = 507;

constexpr const char* version_header = "Object-Version";
constexpr const char* expected_header = "Expected-Version";
constexpr const char* era_header = "Store-Era";

enum class outage {
    none,
    // New connections are refused, and those in use are closed.
    refused,
    // Calls are taken and never answered or executed.
    silent,
    // Calls are answered with 503 and not executed.
    unavailable,
};

const std::map<std::string, outage> outage_names{
    {"none", outage::none},
    {"refused", outage::refused},
    {"silent", outage::silent},
    {"unavailable", outage::unavailable}};

std::string name_of(outage value)
{
    for (const auto& [name, it] : outage_names) {
        if (it == value)
            return name;
    }
    return {};
}

// What the control endpoint switches.
struct behaviour {
    outage down = outage::none;
    // Writes that take effect and whose connection is closed unanswered.
    std::uint64_t lose_answers = 0;
    // Actions, which take effect once.
    bool save_copy = false;
    bool restore_copy = false;
    // Before a call is executed, and between execution and answer.
    milliseconds delay_before{0};
    milliseconds delay_after{0};
    // Calls per second.
    std::uint64_t read_rate = 2000;
    std::uint64_t write_rate = 500;
};

struct totals {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    // Of these, refused because of a rate limit.
    std::uint64_t limited = 0;
    std::uint64_t answers_lost = 0;
};

class rate_limit
{
public:
    // A burst of one second's calls.
    bool take(std::uint64_t rate, process::time_point now)
    {
        auto limit = static_cast<double>(rate);
        std::chrono::duration<double> passed = now - last_;
        last_ = now;
        level_ = std::min(limit, level_ + passed.count() * limit);
        if (level_ < 1)
            return false;
        level_ -= 1;
        return true;
    }

private:
    double level_ = 0;
    process::time_point last_{};
};

bool is_object_name(const std::string& text)
{
    if (text.empty() || text.size() > max_name_bytes)
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.' ||
               c == '/';
    });
}

std::optional<std::uint64_t> parse_number(const char* text)
{
    if (!text)
        return std::nullopt;
    std::string_view all(text);
    std::uint64_t number = 0;
    const auto* end = all.data() + all.size();
    auto [rest, ec] = std::from_chars(all.data(), end, number);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return number;
}

class object_table
{
public:
    const stored_object* find(const std::string& name) const
    {
        auto it = objects_.find(name);
        return it == objects_.end() ? nullptr : &it->second;
    }

    // Returns the HTTP status; the version is the current one afterwards.
    std::pair<unsigned, std::uint64_t> put(const std::string& name,
                                           std::string value,
                                           std::uint64_t expected_version)
    {
        const auto* current = find(name);
        auto version = current ? current->version : 0;
        if (version != expected_version)
            return {SOUP_STATUS_CONFLICT, version};
        auto total =
            bytes_ + value.size() - (current ? current->value.size() : 0);
        if (total > max_total_bytes ||
            (!current && objects_.size() >= max_objects))
            return {status_insufficient_storage, version};
        bytes_ = total;
        objects_[name] = {name, version + 1, std::move(value)};
        return {SOUP_STATUS_OK, version + 1};
    }

    // As put(); the version is that of the object that was removed.
    std::pair<unsigned, std::uint64_t> remove(const std::string& name,
                                              std::uint64_t expected_version)
    {
        const auto* current = find(name);
        if (!current)
            return {SOUP_STATUS_NOT_FOUND, 0};
        auto version = current->version;
        if (version != expected_version)
            return {SOUP_STATUS_CONFLICT, version};
        bytes_ -= current->value.size();
        objects_.erase(name);
        return {SOUP_STATUS_OK, version};
    }

    void save_copy() { copy_ = objects_; }

    // Goes back to the last copy, or to no objects if there is none.
    void restore_copy()
    {
        objects_ = copy_;
        bytes_ = 0;
        for (const auto& [name, it] : objects_)
            bytes_ += it.value.size();
        ++era_;
    }

    std::uint64_t era() const { return era_; }

    Json::Value list(const std::string& prefix, const std::string& after) const
    {
        Json::Value page(Json::objectValue);
        page["objects"] = Json::Value(Json::arrayValue);
        page["next"] = "";
        std::size_t bytes = 0;
        std::string last;
        auto it = after.empty() ? objects_.lower_bound(prefix)
                                : objects_.upper_bound(after);
        for (; it != objects_.end(); ++it) {
            const auto& [name, object] = *it;
            if (name.compare(0, prefix.size(), prefix) != 0)
                break;
            bytes += object.value.size();
            auto& objects = page["objects"];
            if (!objects.empty() && (objects.size() >= max_page_objects ||
                                     bytes > max_page_bytes)) {
                page["next"] = last;
                break;
            }
            Json::Value entry(Json::objectValue);
            entry["name"] = name;
            entry["version"] = Json::UInt64(object.version);
            entry["value"] = object.value;
            objects.append(entry);
            last = name;
        }
        return page;
    }

private:
    std::map<std::string, stored_object> objects_;
    std::size_t bytes_ = 0;
    std::map<std::string, stored_object> copy_;
    std::uint64_t era_ = 1;
};

// A message whose answer is due later. libsoup must not be asked to answer a
// message whose connection has ended, so that is noted.
class pending_message
{
public:
    explicit pending_message(SoupServerMessage* message) : message_(message)
    {
        g_object_ref(message_);
        ended_handler_ = g_signal_connect_swapped(
            message_, "finished", G_CALLBACK(&pending_message::on_ended), this);
        soup_server_message_pause(message_);
    }

    ~pending_message()
    {
        if (!ended_)
            resume();
        g_signal_handler_disconnect(message_, ended_handler_);
        g_object_unref(message_);
    }

    pending_message(const pending_message&) = delete;
    pending_message& operator=(const pending_message&) = delete;

    SoupServerMessage* get() const { return message_; }
    bool ended() const { return ended_; }

    // Sends the answer that was set.
    void resume()
    {
        ended_ = true;
        soup_server_message_unpause(message_);
    }

    // Closes the connection without an answer.
    void drop()
    {
        if (ended_)
            return;
        ended_ = true;
        auto* stream = soup_server_message_steal_connection(message_);
        g_io_stream_close(stream, nullptr, nullptr);
        g_object_unref(stream);
    }

private:
    static void on_ended(pending_message* self) { self->ended_ = true; }

    SoupServerMessage* message_;
    gulong ended_handler_ = 0;
    bool ended_ = false;
};

using message_ptr = std::shared_ptr<pending_message>;

void set_text(SoupServerMessage* message, unsigned status,
              const std::string& text, const char* type = "text/plain")
{
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, type, SOUP_MEMORY_COPY,
                                     text.data(), text.size());
}

void set_version(SoupServerMessage* message, std::uint64_t version)
{
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), version_header,
        std::to_string(version).c_str());
}

void set_object(SoupServerMessage* message, const stored_object& it)
{
    set_version(message, it.version);
    set_text(message, SOUP_STATUS_OK, it.value, "application/octet-stream");
}

std::string body_of(SoupServerMessage* message)
{
    auto* body = soup_server_message_get_request_body(message);
    return body->length > 0
               ? std::string(body->data, static_cast<std::size_t>(body->length))
               : std::string();
}

// The parts of a call that are read once.
struct call {
    message_ptr message;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
};

std::optional<std::uint64_t> query_number(const call& it, const char* name)
{
    auto found = it.query.find(name);
    return found == it.query.end() ? std::nullopt
                                   : parse_number(found->second.c_str());
}

class platform_standin
{
public:
    explicit platform_standin(process::event_loop& loop) : loop_(loop) {}
    ~platform_standin() { stop_api(); }
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;

    // Port 0 selects a free one. Returns false if a port can't be used.
    bool start(unsigned port, unsigned control_port)
    {
        control_ = make_server("/control", &platform_standin::on_control);
        api_port_ = port;
        return listen(control_.get(), control_port) && start_api();
    }

    unsigned api_port() const { return api_port_; }
    unsigned control_port() const { return port_of(control_.get()); }

    behaviour& settings() { return behaviour_; }

private:
    struct unref {
        void operator()(SoupServer* it) const { g_object_unref(it); }
    };
    using server = std::unique_ptr<SoupServer, unref>;

    // A waiting watch.
    struct waiting {
        message_ptr message;
        std::string name;
        std::uint64_t after = 0;
        process::timer_id timer{};
    };

    server make_server(const char* path, SoupServerCallback handler)
    {
        server it(
            soup_server_new("server-header", "platform_standin", nullptr));
        soup_server_add_handler(it.get(), path, handler, this, nullptr);
        return it;
    }

    static bool listen(SoupServer* it, unsigned port)
    {
        GError* error = nullptr;
        bool done =
            soup_server_listen_local(it, port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                     &error) != FALSE;
        if (!done)
            std::cerr << "can't listen on port " << port << ": "
                      << error->message << '\n';
        g_clear_error(&error);
        return done;
    }

    static unsigned port_of(SoupServer* it)
    {
        auto* uris = soup_server_get_uris(it);
        auto port = uris ? g_uri_get_port(static_cast<GUri*>(uris->data)) : 0;
        g_slist_free_full(
            uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
        return static_cast<unsigned>(port);
    }

    bool start_api()
    {
        api_ = make_server("/objects", &platform_standin::on_api);
        if (!listen(api_.get(), api_port_))
            return false;
        api_port_ = port_of(api_.get());
        return true;
    }

    void stop_api()
    {
        for (auto& [id, it] : waiting_) {
            loop_.cancel(it.timer);
            it.message->drop();
        }
        waiting_.clear();
        for (auto& it : silent_)
            it->drop();
        silent_.clear();
        if (api_)
            soup_server_disconnect(api_.get());
        api_.reset();
    }

    static void on_api(SoupServer* /*server*/, SoupServerMessage* message,
                       const char* path, GHashTable* query, gpointer data)
    {
        call it{std::make_shared<pending_message>(message),
                soup_server_message_get_method(message),
                path,
                {}};
        if (query) {
            GHashTableIter iter;
            gpointer key = nullptr;
            gpointer value = nullptr;
            g_hash_table_iter_init(&iter, query);
            while (g_hash_table_iter_next(&iter, &key, &value))
                it.query[static_cast<const char*>(key)] =
                    static_cast<const char*>(value);
        }
        static_cast<platform_standin*>(data)->receive(it);
    }

    void receive(const call& it)
    {
        if (behaviour_.down == outage::none &&
            behaviour_.delay_before.count()) {
            loop_.call_after(behaviour_.delay_before,
                             [this, it] { admit(it); });
            return;
        }
        admit(it);
    }

    void admit(const call& it)
    {
        switch (behaviour_.down) {
        case outage::none:
            break;
        case outage::refused:
            it.message->drop();
            return;
        case outage::silent:
            keep_silent(it.message);
            return;
        case outage::unavailable:
            answer(it.message, SOUP_STATUS_SERVICE_UNAVAILABLE, "outage\n");
            return;
        }
        bool write = it.method == "PUT" || it.method == "DELETE";
        ++(write ? totals_.writes : totals_.reads);
        bool allowed = write ? writes_.take(behaviour_.write_rate, loop_.now())
                             : reads_.take(behaviour_.read_rate, loop_.now());
        if (!allowed) {
            ++totals_.limited;
            answer(it.message, status_too_many_requests, "rate limit\n");
            return;
        }
        execute(it);
    }

    void execute(const call& it)
    {
        const std::string objects = "/objects";
        if (it.path == objects && it.method == "GET") {
            list(it);
            return;
        }
        auto name = it.path.size() > objects.size() + 1
                        ? it.path.substr(objects.size() + 1)
                        : std::string();
        if (!is_object_name(name))
            answer(it.message, SOUP_STATUS_BAD_REQUEST, "not an object name\n");
        else if (it.method == "GET")
            get(it, name);
        else if (it.method == "PUT" || it.method == "DELETE")
            write(it, name);
        else
            answer(it.message, SOUP_STATUS_METHOD_NOT_ALLOWED,
                   "GET, PUT or DELETE\n");
    }

    void list(const call& it)
    {
        auto value = [&it](const char* name) {
            auto found = it.query.find(name);
            return found == it.query.end() ? std::string() : found->second;
        };
        auto page = objects_.list(value("prefix"), value("after"));
        set_text(it.message->get(), SOUP_STATUS_OK, process::write_json(page),
                 "application/json");
        send(it.message);
    }

    void get(const call& it, const std::string& name)
    {
        const auto* object = objects_.find(name);
        auto after = query_number(it, "after");
        if (after) {
            if (object && object->version > *after) {
                set_object(it.message->get(), *object);
                send(it.message);
            } else {
                wait(it, name, *after);
            }
            return;
        }
        if (!object) {
            answer(it.message, SOUP_STATUS_NOT_FOUND, "no such object\n");
            return;
        }
        set_object(it.message->get(), *object);
        send(it.message);
    }

    void wait(const call& it, const std::string& name, std::uint64_t after)
    {
        if (waiting_.size() >= max_waiting) {
            answer(it.message, status_too_many_requests, "too many watches\n");
            return;
        }
        auto limit = static_cast<std::uint64_t>(max_wait.count());
        auto span = milliseconds(
            std::min(query_number(it, "wait_ms").value_or(0), limit));
        auto id = ++last_waiting_;
        auto timer = loop_.call_after(span, [this, id] { end_wait(id); });
        waiting_[id] = {it.message, name, after, timer};
    }

    void end_wait(std::uint64_t id)
    {
        auto it = std::move(waiting_.at(id));
        waiting_.erase(id);
        answer(it.message, SOUP_STATUS_NO_CONTENT, "");
    }

    void write(const call& it, const std::string& name)
    {
        auto* message = it.message->get();
        auto expected = parse_number(soup_message_headers_get_one(
            soup_server_message_get_request_headers(message), expected_header));
        auto value = body_of(message);
        if (!expected) {
            answer(it.message, SOUP_STATUS_BAD_REQUEST,
                   "Expected-Version is missing\n");
            return;
        }
        if (!g_utf8_validate(value.data(), static_cast<gssize>(value.size()),
                             nullptr)) {
            answer(it.message, SOUP_STATUS_BAD_REQUEST,
                   "a value must be UTF-8 without NUL\n");
            return;
        }
        if (value.size() > process::max_object_bytes) {
            answer(it.message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                   "a value has at most 1000000 bytes\n");
            return;
        }
        auto [status, version] =
            it.method == "DELETE"
                ? objects_.remove(name, *expected)
                : objects_.put(name, std::move(value), *expected);
        if (status == SOUP_STATUS_OK) {
            notify(name);
            if (behaviour_.lose_answers > 0) {
                --behaviour_.lose_answers;
                ++totals_.answers_lost;
                it.message->drop();
                return;
            }
        }
        set_version(message, version);
        answer(it.message, status, "");
    }

    void notify(const std::string& name)
    {
        const auto* object = objects_.find(name);
        for (auto it = waiting_.begin(); it != waiting_.end();) {
            if (it->second.name != name) {
                ++it;
                continue;
            }
            loop_.cancel(it->second.timer);
            if (!it->second.message->ended())
                set_object(it->second.message->get(), *object);
            send(it->second.message);
            it = waiting_.erase(it);
        }
    }

    void answer(const message_ptr& message, unsigned status,
                const std::string& text)
    {
        if (message->ended())
            return;
        set_text(message->get(), status, text);
        send(message);
    }

    // Destroying the last reference sends the answer.
    void send(const message_ptr& message)
    {
        if (message->ended())
            return;
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message->get()),
            era_header, std::to_string(objects_.era()).c_str());
        if (behaviour_.delay_after.count() == 0) {
            message->resume();
            return;
        }
        loop_.call_after(behaviour_.delay_after, [message] {
            if (!message->ended())
                message->resume();
        });
    }

    void keep_silent(const message_ptr& message)
    {
        silent_.erase(
            std::remove_if(silent_.begin(), silent_.end(),
                           [](const auto& it) { return it->ended(); }),
            silent_.end());
        if (silent_.size() >= max_waiting)
            message->drop();
        else
            silent_.push_back(message);
    }

    static void on_control(SoupServer* /*server*/, SoupServerMessage* message,
                           const char* /*path*/, GHashTable* /*query*/,
                           gpointer data)
    {
        auto* self = static_cast<platform_standin*>(data);
        std::string method = soup_server_message_get_method(message);
        if (method == "POST" && !self->change_behaviour(body_of(message))) {
            set_text(message, SOUP_STATUS_BAD_REQUEST,
                     "not a valid control message\n");
            return;
        }
        set_text(message, SOUP_STATUS_OK,
                 process::write_indented_json(self->describe()),
                 "application/json");
    }

    // Changes nothing unless every field is valid.
    bool change_behaviour(const std::string& text)
    {
        auto json = text.size() > max_control_bytes ? std::nullopt
                                                    : process::parse_json(text);
        if (!json || !json->isObject())
            return false;
        auto next = behaviour_;
        for (const auto& name : json->getMemberNames()) {
            if (!read_field(name, (*json)[name], next))
                return false;
        }
        bool was_refused = behaviour_.down == outage::refused;
        if (next.save_copy)
            objects_.save_copy();
        if (next.restore_copy)
            objects_.restore_copy();
        next.save_copy = next.restore_copy = false;
        behaviour_ = next;
        apply_outage(was_refused);
        return true;
    }

    static bool read_field(const std::string& name, const Json::Value& value,
                           behaviour& to)
    {
        if (name == "outage") {
            auto it = value.isString() ? outage_names.find(value.asString())
                                       : outage_names.end();
            if (it == outage_names.end())
                return false;
            to.down = it->second;
            return true;
        }
        if (name == "copy" || name == "restore") {
            if (!value.isBool())
                return false;
            (name == "copy" ? to.save_copy : to.restore_copy) = value.asBool();
            return true;
        }
        if (!value.isUInt())
            return false;
        auto number = value.asUInt();
        if (name == "lose_answers")
            to.lose_answers = number;
        else if (name == "delay_before_ms")
            to.delay_before = milliseconds(number);
        else if (name == "delay_after_ms")
            to.delay_after = milliseconds(number);
        else if (name == "read_rate" && number > 0)
            to.read_rate = number;
        else if (name == "write_rate" && number > 0)
            to.write_rate = number;
        else
            return false;
        return true;
    }

    void apply_outage(bool was_refused)
    {
        bool refused = behaviour_.down == outage::refused;
        if (refused && !was_refused)
            stop_api();
        if (!refused && was_refused && !start_api())
            loop_.call_after(std::chrono::seconds(1),
                             [this] { apply_outage(true); });
        if (behaviour_.down == outage::none) {
            for (auto& it : silent_)
                it->drop();
            silent_.clear();
        }
    }

    Json::Value describe() const
    {
        Json::Value json(Json::objectValue);
        json["outage"] = name_of(behaviour_.down);
        json["era"] = Json::UInt64(objects_.era());
        json["lose_answers"] = Json::UInt64(behaviour_.lose_answers);
        json["delay_before_ms"] = Json::UInt64(behaviour_.delay_before.count());
        json["delay_after_ms"] = Json::UInt64(behaviour_.delay_after.count());
        json["read_rate"] = Json::UInt64(behaviour_.read_rate);
        json["write_rate"] = Json::UInt64(behaviour_.write_rate);
        auto& counts = json["totals"];
        counts["reads"] = Json::UInt64(totals_.reads);
        counts["writes"] = Json::UInt64(totals_.writes);
        counts["limited"] = Json::UInt64(totals_.limited);
        counts["answers_lost"] = Json::UInt64(totals_.answers_lost);
        counts["waiting"] = Json::UInt64(waiting_.size());
        return json;
    }

    process::event_loop& loop_;
    behaviour behaviour_;
    totals totals_;
    rate_limit reads_;
    rate_limit writes_;
    object_table objects_;
    std::uint64_t last_waiting_ = 0;
    std::map<std::uint64_t, waiting> waiting_;
    // Calls taken during a silent outage.
    std::vector<message_ptr> silent_;
    unsigned api_port_ = 0;
    server control_;
    server api_;
};

namespace options = boost::program_options;

options::options_description describe_options()
{
    options::options_description all(
        "Usage: platform_standin [OPTION]...\n"
        "A stand-in for the platform's object API on 127.0.0.1, in memory.\n"
        "Prints one line with its ports when it is ready. The control port\n"
        "takes GET and POST /control; see docs/platform-api.md.\n\nOptions");
    all.add_options()("help", "print this text and exit")(
        "version", "print the version and exit")(
        "port", options::value<std::uint16_t>()->default_value(9000),
        "port of the object API; 0 selects a free one")(
        "control-port", options::value<std::uint16_t>()->default_value(9001),
        "port of the control endpoint; 0 selects a free one")(
        "read-rate", options::value<std::uint32_t>()->default_value(2000),
        "reads per second")("write-rate",
                            options::value<std::uint32_t>()->default_value(500),
                            "writes per second")(
        "exit-with-stdin", "exit when standard input is closed, so that it "
                           "never outlives the program that started it");
    return all;
}

gboolean on_signal(gpointer data)
{
    static_cast<process::glib_event_loop*>(data)->stop();
    return G_SOURCE_CONTINUE;
}

gboolean on_input(gint fd, GIOCondition /*condition*/, gpointer data)
{
    char buf[256];
    if (::read(fd, buf, sizeof buf) > 0)
        return G_SOURCE_CONTINUE;
    static_cast<process::glib_event_loop*>(data)->stop();
    return G_SOURCE_REMOVE;
}

int run(const options::variables_map& chosen)
{
    process::glib_event_loop loop;
    platform_standin it(loop);
    it.settings().read_rate = chosen["read-rate"].as<std::uint32_t>();
    it.settings().write_rate = chosen["write-rate"].as<std::uint32_t>();
    if (it.settings().read_rate == 0 || it.settings().write_rate == 0)
        throw options::error("rates must be above 0");
    if (!it.start(chosen["port"].as<std::uint16_t>(),
                  chosen["control-port"].as<std::uint16_t>()))
        return 1;
    g_unix_signal_add(SIGTERM, on_signal, &loop);
    g_unix_signal_add(SIGINT, on_signal, &loop);
    if (chosen.count("exit-with-stdin") != 0)
        g_unix_fd_add(STDIN_FILENO,
                      static_cast<GIOCondition>(G_IO_IN | G_IO_HUP), on_input,
                      &loop);
    std::cout << "ready port=" << it.api_port()
              << " control_port=" << it.control_port() << std::endl;
    loop.run();
    return 0;
}

} // namespace

} // namespace shallotwood::standins

int main(int argc, char** argv)
{
    using namespace shallotwood::standins;
    auto all = describe_options();
    try {
        options::variables_map chosen;
        options::store(options::parse_command_line(argc, argv, all), chosen);
        if (chosen.count("help") != 0) {
            std::cout << all;
            return 0;
        }
        if (chosen.count("version") != 0) {
            std::cout << "platform_standin " << SHALLOTWOOD_VERSION << '\n';
            return 0;
        }
        return run(chosen);
    } catch (const options::error& e) {
        std::cerr << "platform_standin: " << e.what() << '\n';
        return 2;
    }
}
