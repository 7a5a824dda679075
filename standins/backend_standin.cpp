// A backend server for tests and measurements.
//
// Each request is told what to do by its query:
//   size=N      body of N bytes, the mark repeated (default 2)
//   mark=TEXT   what the body repeats (default "ok")
//   chunked=1   send the body without a length
//   echo=1      answer with the body of the request
//   headers=1   answer with the headers received, as JSON
//   status=N    status of the answer
//   delay_ms=N  service time, in place of the distribution
//   truncate=N  break the connection after N bytes of the body
//   stall=N     stop sending after N bytes of the body
//   crash=1     end the process at once
//   call=SERVICE/PATH  call a further service first and answer with its
//               response; a query in PATH must be escaped
// Answers carry X-Body-Digest (XXH3 of the body) and an ETag, and support
// `Range: bytes=N-`.
//
// Control, never counted as executed: GET /control/executed, POST
// /control/settings (JSON object, see `settings`), POST /control/leave,
// GET /health, GET /load.
#include "connection/http_client.hpp"
#include "connection/http_listener.hpp"
#include "process/daemon.hpp"
#include "process/glib_event_loop.hpp"
#include "process/http/http_environment.hpp"
#include "process/stream_hash.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <deque>
#include <fstream>
#include <glib-unix.h>
#include <iostream>
#include <json/json.h>
#include <unistd.h>

namespace
{

namespace options = boost::program_options;
using namespace shallotwood;
using connection::server_exchange;
using exchange_handle = std::shared_ptr<server_exchange>;

constexpr std::size_t max_log_entries = 200'000;
constexpr std::size_t block_bytes = std::size_t{64} * 1024;
constexpr auto announce_period = std::chrono::seconds(1);
constexpr auto idle_poll_period = std::chrono::milliseconds(10);
constexpr int crash_status = 70;

struct settings {
    int slots = 100;
    int connections = 1000;
    // Requests that wait for a slot; more are refused unrun.
    int queue = 1000;
    double latency_ms = 1;
    // constant, exponential, or lognormal with a heavy tail.
    std::string distribution = "constant";
    // Service times are this much longer at the start, falling to 1 over
    // cold_seconds.
    double cold_factor = 1;
    double cold_seconds = 0;
    bool draining = false;
    bool healthy = true;
    // What GET /load claims; the truth if negative.
    double claimed_load = -1;
    // Accept requests and never answer.
    bool silent = false;
    bool announcing = true;
};

// Throws Json::Exception if a value has the wrong type.
void update(settings& it, const Json::Value& json)
{
    auto set = [&json](const char* name, auto& value) {
        if (json.isMember(name))
            value = json[name].template as<std::decay_t<decltype(value)>>();
    };
    set("slots", it.slots);
    set("connections", it.connections);
    set("queue", it.queue);
    set("latency_ms", it.latency_ms);
    set("distribution", it.distribution);
    set("cold_factor", it.cold_factor);
    set("cold_seconds", it.cold_seconds);
    set("draining", it.draining);
    set("healthy", it.healthy);
    set("claimed_load", it.claimed_load);
    set("silent", it.silent);
    set("announcing", it.announcing);
}

std::string to_text(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json) + "\n";
}

class query
{
public:
    explicit query(const std::string& path)
    {
        auto n = path.find('?');
        if (n == std::string::npos)
            return;
        values_ = g_uri_parse_params(path.c_str() + n + 1, -1, "&",
                                     G_URI_PARAMS_NONE, nullptr);
    }
    ~query()
    {
        if (values_)
            g_hash_table_unref(values_);
    }
    query(const query&) = delete;
    query& operator=(const query&) = delete;

    std::string text(const char* name, const char* fallback = "") const
    {
        const auto* it = values_ ? g_hash_table_lookup(values_, name) : nullptr;
        return it ? static_cast<const char*>(it) : fallback;
    }

    std::optional<std::uint64_t> number(const char* name) const
    {
        auto it = text(name);
        if (it.empty())
            return std::nullopt;
        return std::strtoull(it.c_str(), nullptr, 10);
    }

private:
    GHashTable* values_ = nullptr;
};

// A text repeated up to a size, without holding it whole.
class body_source
{
public:
    body_source(const std::string& mark, std::uint64_t size) : size_(size)
    {
        while (block_.size() < block_bytes && block_.size() < size)
            block_ += mark.empty() ? "." : mark;
    }
    explicit body_source(std::string whole)
        : block_(std::move(whole)), size_(block_.size())
    {
    }

    std::uint64_t size() const { return size_; }

    std::string_view at(std::uint64_t position) const
    {
        if (position >= size_)
            return {};
        auto offset = position % block_.size();
        return std::string_view(block_).substr(
            offset,
            std::min<std::uint64_t>(block_.size() - offset, size_ - position));
    }

    std::string digest() const
    {
        process::stream_hash hash;
        for (std::uint64_t n = 0; n < size_; n += at(n).size())
            hash.add(at(n));
        return hash.text();
    }

private:
    std::string block_;
    std::uint64_t size_;
};

class backend;

// One request, from its arrival to the last byte of the answer.
class job : public std::enable_shared_from_this<job>
{
public:
    job(backend& owner, exchange_handle exchange);
    void receive();
    void run();
    void refuse(const char* why);

private:
    void start();
    std::optional<process::duration> service_time();
    double drawn_ms();
    void served();
    void call_further(const std::string& where);
    void answer(int status, body_source body);
    connection::response_head make_head(int status);
    void apply_range(connection::response_head& head, const std::string& etag);
    void send();
    void left();
    void end();
    Json::Value entry() const;

    backend& in_;
    exchange_handle exchange_;
    std::string path_;
    query query_;
    std::string method_;
    std::string request_id_;
    std::string idempotency_key_;
    std::string token_;
    std::string range_;
    std::string if_range_;
    Json::Value received_;
    std::optional<process::time_point> deadline_;
    std::string echo_;
    process::http::scoped_timer timer_;
    std::shared_ptr<connection::client_call> further_;
    int further_status_ = 0;
    std::string further_body_;
    std::optional<body_source> answer_;
    std::uint64_t position_ = 0;
    bool running_ = false;
    bool ended_ = false;
};

class backend
{
public:
    backend(settings initial, std::string service,
            std::optional<connection::listen_address> node, std::uint64_t seed)
        : what(std::move(initial)), random(seed),
          listener({}, [this](auto it) { request(it); }),
          service_(std::move(service)), node_(std::move(node)),
          announce_timer_(loop), drain_timer_(loop), started_(loop.now())
    {
    }

    void admit(const std::shared_ptr<job>& it);
    void release(const std::shared_ptr<job>& it, bool was_running);
    void announce();
    void shut_down();
    double cold_factor() const;
    const std::optional<connection::listen_address>& node() const
    {
        return node_;
    }
    static void append(std::deque<Json::Value>& log, Json::Value entry);

    process::glib_event_loop loop;
    settings what;
    process::random_source random;
    connection::http_client client;
    connection::http_listener listener;
    std::deque<Json::Value> executed;
    std::deque<Json::Value> cancelled;

private:
    void request(const exchange_handle& exchange);
    void receive_control(const exchange_handle& exchange);
    void control(const exchange_handle& exchange, const std::string& method,
                 const std::string& path, const std::string& body);
    Json::Value log() const;
    int change_settings(const std::string& text);
    void post_to_node(const std::string& path, const std::string& text,
                      std::function<void()> done);
    void poll_idle();

    std::string service_;
    std::optional<connection::listen_address> node_;
    process::http::scoped_timer announce_timer_;
    process::http::scoped_timer drain_timer_;
    process::time_point started_;
    int running_ = 0;
    std::size_t open_ = 0;
    std::deque<std::shared_ptr<job>> waiting_;
    bool leaving_ = false;
};

job::job(backend& owner, exchange_handle exchange)
    : in_(owner), exchange_(std::move(exchange)), path_(exchange_->path()),
      query_(path_), method_(exchange_->method()), timer_(owner.loop)
{
    auto* headers = exchange_->request_headers();
    auto value = [headers](const char* name) {
        return connection::single_header(headers, name).value_or("");
    };
    request_id_ = value(connection::header_name::request_id);
    idempotency_key_ = value("Idempotency-Key");
    token_ = value(connection::header_name::token);
    range_ = value("Range");
    if_range_ = value("If-Range");
    if (auto it = value(connection::header_name::deadline); !it.empty())
        deadline_ = in_.loop.now() + std::chrono::milliseconds(
                                         std::strtoll(it.c_str(), nullptr, 10));
    soup_message_headers_foreach(
        headers,
        [](const char* name, const char* text, gpointer json) {
            (*static_cast<Json::Value*>(json))[name].append(text);
        },
        &received_);
}

void job::receive()
{
    auto self = shared_from_this();
    exchange_->on_lost([self] { self->left(); });
    exchange_->read_body(
        [self](std::string_view chunk) {
            if (self->query_.number("echo"))
                self->echo_ += chunk;
            self->exchange_->read_more();
        },
        [self] { self->start(); });
}

void job::start()
{
    if (in_.what.draining)
        return refuse("draining");
    in_.admit(shared_from_this());
}

Json::Value job::entry() const
{
    Json::Value it;
    it["request"] = request_id_;
    it["idempotency_key"] = idempotency_key_;
    it["path"] = path_;
    return it;
}

void job::run()
{
    running_ = true;
    if (deadline_ && in_.loop.now() >= *deadline_)
        return refuse("deadline");
    backend::append(in_.executed, entry());
    if (query_.number("crash"))
        ::_exit(crash_status);
    if (in_.what.silent)
        return;
    auto time = service_time();
    if (!time)
        return;
    if (*time == process::duration(0))
        return served();
    timer_.start(*time, [self = shared_from_this()] { self->served(); });
}

double job::drawn_ms()
{
    double ms = in_.what.latency_ms;
    if (auto it = query_.number("delay_ms"))
        return static_cast<double>(*it);
    if (ms > 0 && in_.what.distribution == "exponential")
        return std::exponential_distribution<>(1 / ms)(in_.random.engine());
    if (ms > 0 && in_.what.distribution == "lognormal")
        return std::lognormal_distribution<>(std::log(ms),
                                             1.0)(in_.random.engine());
    return ms;
}

// Nothing if the deadline ends the work early.
std::optional<process::duration> job::service_time()
{
    auto ms = drawn_ms() * in_.cold_factor();
    auto time = process::duration(static_cast<std::int64_t>(ms * 1000));
    if (!deadline_ || in_.loop.now() + time <= *deadline_)
        return time;
    timer_.start(*deadline_ - in_.loop.now(), [self = shared_from_this()] {
        self->answer(SOUP_STATUS_GATEWAY_TIMEOUT, body_source("deadline\n"));
    });
    return std::nullopt;
}

void job::served()
{
    if (auto further = query_.text("call"); !further.empty())
        return call_further(further);
    int status = static_cast<int>(query_.number("status").value_or(200));
    if (query_.number("echo"))
        return answer(status, body_source(echo_));
    if (query_.number("headers"))
        return answer(status, body_source(to_text(received_)));
    answer(status, body_source(query_.text("mark", "ok"),
                               query_.number("size").value_or(2)));
}

void job::call_further(const std::string& where)
{
    const auto& node = in_.node();
    if (!node)
        return answer(SOUP_STATUS_NOT_IMPLEMENTED, body_source("no node\n"));
    auto self = shared_from_this();
    connection::client_handlers it;
    it.on_head = [self](const auto& head, const auto& /*unused*/) {
        self->further_status_ = head.status;
        self->further_->read();
    };
    it.on_data = [self](std::string_view bytes) {
        self->further_body_ += bytes;
        self->further_->read();
    };
    it.on_end = [self] {
        self->answer(self->further_status_, body_source(self->further_body_));
    };
    it.on_failure = [self](const auto& failure) {
        self->answer(SOUP_STATUS_BAD_GATEWAY, body_source(failure.message));
    };
    further_ = in_.client.start({"GET",
                                 node->host,
                                 node->port,
                                 "/call/" + where,
                                 {{connection::header_name::token, token_}},
                                 nullptr},
                                std::move(it));
}

void job::answer(int status, body_source body)
{
    if (ended_)
        return;
    timer_.cancel();
    answer_.emplace(std::move(body));
    exchange_->start_response(make_head(status));
    send();
}

connection::response_head job::make_head(int status)
{
    auto digest = answer_->digest();
    auto etag = "\"" + digest + "\"";
    connection::response_head head{status, {}, answer_->size()};
    head.headers = {{"Content-Type", "application/octet-stream"},
                    {"X-Body-Digest", digest},
                    {"ETag", etag},
                    {"X-Mark", query_.text("mark", "ok")},
                    {"X-Instance", std::to_string(in_.listener.port())},
                    {"Keep-Alive", "timeout=60"}};
    apply_range(head, etag);
    if (query_.number("chunked"))
        head.length.reset();
    return head;
}

// Honours `Range: bytes=N-` on a whole answer whose validator matches.
void job::apply_range(connection::response_head& head, const std::string& etag)
{
    constexpr std::string_view prefix = "bytes=";
    if (head.status != SOUP_STATUS_OK || range_.size() <= prefix.size() ||
        range_.compare(0, prefix.size(), prefix) != 0 || range_.back() != '-' ||
        (!if_range_.empty() && if_range_ != etag))
        return;
    auto first = std::strtoull(range_.c_str() + prefix.size(), nullptr, 10);
    if (first >= answer_->size())
        return;
    position_ = first;
    auto total = std::to_string(answer_->size());
    head.status = SOUP_STATUS_PARTIAL_CONTENT;
    head.length = answer_->size() - first;
    head.headers.push_back(
        {"Content-Range", "bytes " + std::to_string(first) + "-" +
                              std::to_string(answer_->size() - 1) + "/" +
                              total});
}

void job::send()
{
    if (ended_)
        return;
    auto piece = answer_->at(position_);
    auto truncate = query_.number("truncate");
    auto stall = query_.number("stall");
    // The rest of an answer that is resumed is sent whole.
    if (!range_.empty())
        truncate = stall = std::nullopt;
    for (const auto& limit : {truncate, stall}) {
        if (limit && position_ + piece.size() > *limit)
            piece = piece.substr(0, *limit - position_);
    }
    if (!piece.empty() && method_ != "HEAD") {
        position_ += piece.size();
        exchange_->write(piece, [self = shared_from_this()] { self->send(); });
        return;
    }
    bool whole = position_ == answer_->size() || method_ == "HEAD";
    if (!whole && stall)
        return;
    if (whole)
        exchange_->finish();
    else
        exchange_->abort();
    end();
}

void job::refuse(const char* why)
{
    exchange_->respond(SOUP_STATUS_SERVICE_UNAVAILABLE,
                       {{connection::header_name::token, token_},
                        {connection::header_name::verdict, "not-run"},
                        {connection::header_name::reason, why}},
                       "");
    end();
}

void job::left()
{
    auto it = entry();
    it["running"] = running_;
    backend::append(in_.cancelled, it);
    end();
}

void job::end()
{
    if (std::exchange(ended_, true))
        return;
    auto self = shared_from_this();
    timer_.cancel();
    exchange_->on_lost({});
    if (further_)
        further_->cancel();
    in_.release(self, running_);
}

void backend::append(std::deque<Json::Value>& log, Json::Value entry)
{
    log.push_back(std::move(entry));
    if (log.size() > max_log_entries)
        log.pop_front();
}

void backend::request(const exchange_handle& exchange)
{
    auto path = exchange->path();
    if (path.compare(0, 9, "/control/") == 0 || path == "/health" ||
        path == "/load")
        return receive_control(exchange);
    ++open_;
    std::make_shared<job>(*this, exchange)->receive();
}

void backend::receive_control(const exchange_handle& exchange)
{
    auto text = std::make_shared<std::string>();
    exchange->read_body(
        [text, exchange](std::string_view chunk) {
            *text += chunk;
            exchange->read_more();
        },
        [this, exchange, text] {
            control(exchange, exchange->method(), exchange->path(), *text);
        });
}

void backend::admit(const std::shared_ptr<job>& it)
{
    if (running_ < what.slots) {
        ++running_;
        return it->run();
    }
    if (waiting_.size() >= static_cast<std::size_t>(what.queue))
        return it->refuse("overload");
    waiting_.push_back(it);
}

void backend::release(const std::shared_ptr<job>& it, bool was_running)
{
    --open_;
    auto at = std::find(waiting_.begin(), waiting_.end(), it);
    if (at != waiting_.end())
        waiting_.erase(at);
    if (was_running)
        --running_;
    while (running_ < what.slots && !waiting_.empty()) {
        auto next = waiting_.front();
        waiting_.pop_front();
        ++running_;
        next->run();
    }
}

double backend::cold_factor() const
{
    if (what.cold_seconds <= 0)
        return 1;
    double age = std::chrono::duration<double>(loop.now() - started_).count();
    double left = std::max(0.0, 1 - age / what.cold_seconds);
    return 1 + (what.cold_factor - 1) * left;
}

Json::Value backend::log() const
{
    Json::Value json;
    json["executed"] = Json::Value(Json::arrayValue);
    json["cancelled"] = Json::Value(Json::arrayValue);
    for (const auto& it : executed)
        json["executed"].append(it);
    for (const auto& it : cancelled)
        json["cancelled"].append(it);
    json["running"] = running_;
    json["waiting"] = Json::UInt64(waiting_.size());
    return json;
}

int backend::change_settings(const std::string& text)
{
    try {
        Json::Value changes;
        std::istringstream(text) >> changes;
        update(what, changes);
        return SOUP_STATUS_OK;
    } catch (const Json::Exception&) {
        return SOUP_STATUS_BAD_REQUEST;
    }
}

void backend::control(const exchange_handle& exchange,
                      const std::string& method, const std::string& path,
                      const std::string& body)
{
    Json::Value json(Json::objectValue);
    int status = SOUP_STATUS_OK;
    if (path == "/control/executed") {
        json = log();
    } else if (path == "/control/settings" && method == "POST") {
        status = change_settings(body);
    } else if (path == "/control/leave" && method == "POST") {
        what.announcing = false;
        post_to_node("/backend/leave", "{}", {});
    } else if (path == "/health") {
        status =
            what.healthy ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE;
    } else if (path == "/load") {
        json["load"] = what.claimed_load >= 0
                           ? what.claimed_load
                           : double(running_) / std::max(1, what.slots);
    } else {
        status = SOUP_STATUS_NOT_FOUND;
    }
    exchange->respond(status, {{"Content-Type", "application/json"}},
                      to_text(json));
}

void backend::post_to_node(const std::string& path, const std::string& text,
                           std::function<void()> done)
{
    if (!node_)
        return;
    auto body = std::make_shared<connection::request_body>(text.size());
    body->append(text);
    body->finish();
    auto call = std::make_shared<std::shared_ptr<connection::client_call>>();
    auto end = [call, done = std::move(done)] {
        call->reset();
        if (done)
            done();
    };
    connection::client_handlers it;
    it.on_head = [call](const auto& /*unused*/, const auto& /*unused*/) {
        (*call)->read();
    };
    it.on_data = [call](std::string_view /*unused*/) { (*call)->read(); };
    it.on_end = end;
    it.on_failure = [end](const auto& /*unused*/) { end(); };
    *call = client.start({"POST", node_->host, node_->port, path, {}, body},
                         std::move(it));
}

void backend::announce()
{
    if (leaving_)
        return;
    Json::Value json;
    json["service"] = service_;
    json["port"] = listener.port();
    json["slots"] = what.slots;
    json["connections"] = what.connections;
    if (what.announcing)
        post_to_node("/backend/announce", to_text(json), {});
    announce_timer_.start(announce_period, [this] { announce(); });
}

// Tells the node, finishes what is in flight, and ends; a second signal ends
// it at once.
void backend::shut_down()
{
    if (leaving_)
        return loop.stop();
    leaving_ = true;
    if (!node_)
        return poll_idle();
    post_to_node("/backend/leave", "{}", [this] { poll_idle(); });
}

void backend::poll_idle()
{
    if (open_ == 0)
        return loop.stop();
    drain_timer_.start(idle_poll_period, [this] { poll_idle(); });
}

gboolean signalled(gpointer data)
{
    static_cast<backend*>(data)->shut_down();
    return G_SOURCE_CONTINUE;
}

int run(const options::variables_map& values)
{
    settings initial;
    if (values.count("settings")) {
        Json::Value json;
        std::istringstream(values["settings"].as<std::string>()) >> json;
        update(initial, json);
    }
    std::optional<connection::listen_address> node;
    if (values.count("node"))
        node = connection::parse_address(values["node"].as<std::string>());
    auto listen = connection::parse_address(values["listen"].as<std::string>());
    if (!listen || (values.count("node") && !node)) {
        std::cerr << "backend_standin: expected ADDRESS:PORT\n";
        return 2;
    }
    backend it(initial, values["service"].as<std::string>(), node,
               values["seed"].as<std::uint64_t>());
    if (auto error = it.listener.listen(*listen); !error.empty()) {
        std::cerr << "backend_standin: " << error << '\n';
        return 1;
    }
    g_unix_signal_add(SIGTERM, signalled, &it);
    if (values.count("port-file") &&
        !process::write_port_file(values["port-file"].as<std::string>(),
                                  {it.listener.port()})) {
        std::cerr << "backend_standin: can't write the port file\n";
        return 1;
    }
    it.announce();
    it.loop.run();
    return 0;
}

options::options_description described_options()
{
    options::options_description known("backend_standin");
    auto add = known.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address to serve on");
    add("port-file", options::value<std::string>(),
        "write the port in use to this file");
    add("service", options::value<std::string>()->default_value("service"),
        "name of the service");
    add("node", options::value<std::string>(),
        "local address of the node beside this process");
    add("settings", options::value<std::string>(),
        "JSON object, as for POST /control/settings");
    add("seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the service times");
    return known;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        auto known = described_options();
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, known), values);
        options::notify(values);
        if (values.count("help")) {
            std::cout << known;
            return 0;
        }
        if (values.count("version")) {
            std::cout << "backend_standin " << SHALLOTWOOD_VERSION << '\n';
            return 0;
        }
        return run(values);
    } catch (const std::exception& error) {
        std::cerr << "backend_standin: " << error.what() << '\n';
        return 2;
    }
}
