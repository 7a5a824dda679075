#include "process/node.hpp"

#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"
#include "process/log.hpp"

namespace shallotwood::process
{

namespace
{

constexpr std::size_t boot_id_bytes = 9;

// Dynamic port range, from which tests choose a control port at random.
constexpr std::uint16_t first_dynamic_port = 49152;
constexpr int max_port_attempts = 50;

connection::listen_address to_listen_address(const peer_address& it,
                                             bool ephemeral)
{
    return {it.host, ephemeral ? std::uint16_t(0) : it.port};
}

// Exceeds the incarnations of earlier starts of this instance, unless the wall
// clock was set back by more than the time between the starts.
std::uint64_t wall_clock_incarnation()
{
    return static_cast<std::uint64_t>(g_get_real_time());
}

node_core_settings make_core_settings(const settings& configured)
{
    node_core_settings it;
    it.members.seeds = configured.seeds;
    it.feed.isolation_limit = configured.isolation_limit;
    it.records.window = configured.record_window;
    it.wall = [] { return g_get_real_time() / 1000; };
    it.queue.max_wait = configured.queue_time_limit;
    it.retry_allowance = static_cast<int>(configured.retry_allowance);
    it.drain_limit = configured.drain_limit;
    return it;
}

// True if nothing listens at the server's address any more. The socket is
// non-blocking; on the loopback interface a refusal is reported immediately.
bool refuses_connections(const http::backend_announcement& server)
{
    connection::object_handle<GSocketAddress> address(
        g_inet_socket_address_new_from_string(server.host.c_str(),
                                              server.port));
    if (!address)
        return false;
    connection::object_handle<GSocket> probe(
        g_socket_new(g_socket_address_get_family(address.get()),
                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    if (!probe)
        return false;
    g_socket_set_blocking(probe.get(), FALSE);
    GError* error = nullptr;
    if (g_socket_connect(probe.get(), address.get(), nullptr, &error))
        return false;
    connection::error_handle failure(error);
    return g_error_matches(failure.get(), G_IO_ERROR,
                           G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
}

} // namespace

node::node(glib_event_loop& loop, const settings& configured)
    : loop_(loop), settings_(configured), boot_id_(random_token(boot_id_bytes)),
      random_(stable_hash(boot_id_))
{
}

node::~node() = default;

std::variant<std::unique_ptr<node>, std::string>
node::open(glib_event_loop& loop, const settings& configured,
           const std::string& fleet_secret, bool ephemeral_ports)
{
    std::unique_ptr<node> new_node(new node(loop, configured));
    new_node->platform_ = std::make_unique<platform_client>(
        configured.platform_address, loop, new_node->random_);
    auto error = new_node->open_control(fleet_secret, ephemeral_ports);
    if (!error.empty())
        return error;
    new_node->create_core();
    error = new_node->open_data_path(fleet_secret, ephemeral_ports);
    if (!error.empty())
        return error;
    new_node->core_->start(new_node->data_path_->peer_port());
    return new_node;
}

std::string node::open_control(const std::string& fleet_secret,
                               bool ephemeral_ports)
{
    int attempts = ephemeral_ports ? max_port_attempts : 1;
    std::string error;
    for (int n = 0; n < attempts; ++n) {
        control_ = settings_.control_address;
        if (ephemeral_ports)
            control_.port = static_cast<std::uint16_t>(
                first_dynamic_port + random_.below(65536 - first_dynamic_port));
        auto opened = peer_socket::open(loop_, counts_, control_, control_.port,
                                        fleet_secret);
        if (auto* it = std::get_if<std::unique_ptr<peer_socket>>(&opened)) {
            transport_ = std::move(*it);
            return {};
        }
        error = std::get<std::string>(opened);
    }
    return error;
}

void node::create_core()
{
    member self;
    self.instance = settings_.instance;
    self.incarnation = wall_clock_incarnation();
    self.peer = control_;
    self.failure_domain = settings_.failure_domain;
    self.region = settings_.region;
    core_ = std::make_unique<node_core>(
        loop_, *transport_, *platform_, counts_, make_core_settings(settings_),
        self, boot_id_, random_.below(UINT64_MAX), refuses_connections);
}

std::string node::open_data_path(const std::string& fleet_secret,
                                 bool ephemeral_ports)
{
    http::data_path_settings it;
    it.caller = to_listen_address(settings_.caller_address, ephemeral_ports);
    it.peer = to_listen_address(settings_.peer_address, ephemeral_ports);
    it.local = to_listen_address(settings_.local_address, ephemeral_ports);
    it.fleet_secret = fleet_secret;
    data_path_ = std::make_unique<http::data_path>(
        std::move(it), loop_, random_, counts_, core_->entry(),
        core_->routing(), core_->execution());
    data_path_->on_announce([this](const http::backend_announcement& server) {
        core_->server().announced(server);
    });
    data_path_->on_leave([this] { core_->server().left(); });
    data_path_->on_local_control(
        [this](const http::control_request& request,
               const std::function<void(http::control_response)>& done) {
            handle_local_request(request, done);
        });
    return data_path_->start();
}

void node::handle_local_request(
    const http::control_request& it,
    const std::function<void(http::control_response)>& done) const
{
    if (it.method != "GET" || it.path != "/status") {
        done({404, "application/json", "{\"error\":\"no such path\"}\n"});
        return;
    }
    done({200, "application/json", write_json(core_->status()) + "\n"});
}

node_ports node::ports() const
{
    return {data_path_->caller_port(), data_path_->peer_port(),
            data_path_->local_port(), control_.port};
}

void node::drain(std::function<void()> done)
{
    auto both = std::make_shared<int>(2);
    auto one_done = [both, done = std::move(done)] {
        if (--*both == 0)
            done();
    };
    core_->drain(one_done);
    data_path_->drain(one_done);
}

} // namespace shallotwood::process
