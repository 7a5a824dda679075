// Cost of the membership and the configuration feed, with real module objects
// on a virtual loop: bytes on the wire, dissemination time, platform calls,
// CPU and memory, at several numbers of nodes. The slopes are for planning the
// capacity of fleets that don't fit one machine.
//
// Every message is sealed and opened as on a real socket. CPU includes the
// simulation, so it is an upper bound.
#include "process/configuration/configuration_feed.hpp"
#include "process/membership.hpp"
#include "process/peer_message.hpp"
#include "process/peer_socket.hpp"
#include "support/fake_codec.hpp"
#include "support/fake_object_store.hpp"
#include "support/virtual_loop.hpp"

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/program_options.hpp>
#include <ctime>
#include <fstream>
#include <iostream>
#include <malloc.h>

namespace shallotwood::bench
{

namespace
{

using process::duration;

const std::string secret(32, 's');
constexpr std::size_t body_bytes = 1'000;
constexpr int failure_domains = 7;
constexpr int regions = 3;
// IPv4 and UDP headers.
constexpr std::size_t datagram_overhead = 28;
// Seven segments without data, 52 bytes each, that open and close a TCP
// connection for the message; the headers of each segment with data and of its
// acknowledgement.
constexpr std::size_t stream_overhead = 364;
constexpr std::size_t segment_bytes = 1'448;
constexpr std::size_t segment_overhead = 104;

// Delivers sealed messages after a delay and counts the bytes on the wire.
class metered_network
{
public:
    explicit metered_network(process::event_loop& loop) : loop_(loop) {}

    class port final : public process::peer_transport
    {
    public:
        port(metered_network& network, process::peer_address address)
            : network_(network), address_(std::move(address))
        {
        }

        void send(const process::peer_address& to, const std::string& method,
                  const Json::Value& params) override
        {
            auto sealed =
                process::encode_message({address_, to, method, params}, secret);
            if (const auto* whole = std::get_if<std::string>(&sealed))
                network_.transmit(to, method, *whole);
        }

        void subscribe(const std::string& method, handler on_message) override
        {
            dispatcher_.subscribe(method, std::move(on_message));
        }

        void receive(const std::string& sealed)
        {
            auto opened = process::decode_message(sealed, address_, secret);
            if (const auto* text = std::get_if<std::string>(&opened))
                dispatcher_.dispatch(*text);
        }

    private:
        metered_network& network_;
        process::peer_address address_;
        process::notification_dispatcher dispatcher_;
    };

    port& at(const process::peer_address& address)
    {
        auto& it = ports_[address];
        if (!it)
            it = std::make_unique<port>(*this, address);
        return *it;
    }

    std::map<std::string, std::uint64_t> bytes_by_method;
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t streams = 0;

    void reset()
    {
        bytes_by_method.clear();
        bytes = messages = streams = 0;
    }

private:
    void transmit(const process::peer_address& to, const std::string& method,
                  const std::string& sealed)
    {
        auto wire = sealed.size() + datagram_overhead;
        if (sealed.size() > process::peer_socket::max_datagram_bytes) {
            auto segments = sealed.size() / segment_bytes + 1;
            wire =
                sealed.size() + stream_overhead + segments * segment_overhead;
            ++streams;
        }
        bytes += wire;
        bytes_by_method[method] += wire;
        ++messages;
        auto wait = duration(1'000 + random_.below(2'000));
        loop_.call_after(wait, [this, to, sealed] {
            auto found = ports_.find(to);
            if (found != ports_.end())
                found->second->receive(sealed);
        });
    }

    process::event_loop& loop_;
    process::random_source random_{1};
    std::map<process::peer_address, std::unique_ptr<port>> ports_;
};

// The head object holds only the revision; the changes are the bench's own.
class bench_loader final : public process::configuration::configuration_loader
{
public:
    void load(const process::stored_object& head,
              const version::configuration_ptr& base,
              std::function<void(
                  std::optional<process::configuration::loaded_configuration>)>
                  done) override
    {
        auto now =
            base ? base : std::make_shared<const version::configuration>();
        process::configuration::loaded_configuration result;
        auto revision = std::stoull(head.value);
        while (now->revision < revision) {
            result.changes.push_back(changes[now->revision]);
            now = codec.apply(*now, changes[now->revision]);
        }
        result.it = now;
        done(std::move(result));
    }

    test::fake_codec codec;
    std::vector<std::string> changes;
};

struct node {
    process::counters counts;
    std::unique_ptr<process::membership> members;
    std::unique_ptr<process::configuration::configuration_feed> feed;
};

struct phase_result {
    std::string name;
    double bytes_per_node_second = 0;
    double messages_per_node_second = 0;
    double streams_per_node_second = 0;
    double cpu_percent = 0;
    double platform_calls_per_minute = 0;
    // Of the time from the commit until a node has the change; 0 at rest.
    double spread_p50 = 0;
    double spread_max = 0;
    std::map<std::string, double> bytes_by_method;
};

class fleet_bench
{
public:
    explicit fleet_bench(int count)
        : count_(count), network_(loop_), platform_(loop_)
    {
    }

    bool form();
    phase_result measure(const std::string& name, double changes_per_second);
    double heap_per_member() const { return heap_per_member_; }

private:
    void add(int number);
    void commit();
    std::string body();

    int count_;
    test::virtual_loop loop_;
    metered_network network_;
    test::fake_object_store platform_;
    bench_loader loader_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<process::time_point> committed_;
    std::vector<double> spread_;
    std::mt19937_64 engine_{1};
    double heap_per_member_ = 0;
};

void fleet_bench::add(int number)
{
    auto it = std::make_unique<node>();
    process::member self;
    // Names and addresses as long as those of a large fleet.
    self.instance = "weighbridge-" + std::to_string(100'000 + number);
    self.incarnation = 1'700'000'000'000'000 + number;
    self.peer = {"10." + std::to_string(100 + number / 62'500) + '.' +
                     std::to_string(number / 250 % 250) + '.' +
                     std::to_string(1 + number % 250),
                 7001};
    self.failure_domain =
        "failure-domain-" + std::to_string(number % failure_domains);
    self.region =
        "region-" + std::to_string(number % failure_domains % regions);
    auto& port = network_.at(self.peer);
    it->members = std::make_unique<process::membership>(
        loop_, port, platform_, it->counts, process::membership_settings{},
        self, number);
    it->members->announce("service-" + std::to_string(number % 20), 140);
    it->feed = std::make_unique<process::configuration::configuration_feed>(
        loop_, port, platform_, *it->members, loader_.codec, loader_,
        it->counts, process::configuration::configuration_feed_settings{});
    auto seen = std::make_shared<std::uint64_t>(0);
    it->feed->listen([this, seen](const version::configuration_ptr& now) {
        for (; *seen < now->revision; ++*seen) {
            auto span = loop_.now() - committed_[*seen];
            spread_.push_back(std::chrono::duration<double>(span).count());
        }
    });
    it->members->start();
    it->feed->start();
    nodes_.push_back(std::move(it));
}

// A change of hashes of keys, which compress to little more than half.
std::string fleet_bench::body()
{
    auto text = "w" + std::to_string(loader_.changes.size() % 50) +
                "={\"change\":\"issue-key\",\"hash\":\"";
    while (text.size() < body_bytes - 2)
        text.push_back("0123456789abcdef"[engine_() % 16]);
    return text + "\"}";
}

void fleet_bench::commit()
{
    loader_.changes.push_back(body());
    committed_.push_back(loop_.now());
    platform_.put(process::configuration::configuration_feed::head_object_name,
                  std::to_string(loader_.changes.size()),
                  loader_.changes.size() - 1, [](const auto&) {});
}

// False if some node does not know all others in time.
bool fleet_bench::form()
{
    auto before = mallinfo2().uordblks;
    commit();
    for (int n = 0; n < count_; ++n) {
        add(n);
        loop_.advance(std::chrono::seconds(20) / count_);
    }
    auto complete = [this] {
        return std::all_of(nodes_.begin(), nodes_.end(), [this](auto& it) {
            return it->members->members().size() == nodes_.size();
        });
    };
    for (int n = 0; n < 30 && !complete(); ++n)
        loop_.advance(std::chrono::seconds(10));
    // Until the rumours of the start have ended.
    loop_.advance(std::chrono::seconds(90));
    heap_per_member_ = double(mallinfo2().uordblks - before) / count_ / count_;
    return complete();
}

phase_result fleet_bench::measure(const std::string& name,
                                  double changes_per_second)
{
    constexpr int seconds = 60;
    network_.reset();
    spread_.clear();
    auto calls = platform_.reads + platform_.writes;
    auto cpu = std::clock();
    auto end = loop_.now() + std::chrono::seconds(seconds);
    int changes = static_cast<int>(changes_per_second * seconds);
    for (int n = 0; n < changes; ++n) {
        commit();
        loop_.advance(
            duration(static_cast<duration::rep>(1e6 / changes_per_second)));
    }
    loop_.advance(end - loop_.now());
    auto used = double(std::clock() - cpu) / CLOCKS_PER_SEC;
    auto node_seconds = double(count_) * seconds;
    phase_result it;
    it.name = name;
    it.bytes_per_node_second = network_.bytes / node_seconds;
    it.messages_per_node_second = network_.messages / node_seconds;
    it.streams_per_node_second = network_.streams / node_seconds;
    it.cpu_percent = 100 * used / node_seconds;
    it.platform_calls_per_minute =
        double(platform_.reads + platform_.writes - calls) * 60 / seconds;
    for (const auto& [method, bytes] : network_.bytes_by_method)
        it.bytes_by_method[method] = bytes / node_seconds;
    // Lets the last changes arrive.
    loop_.advance(std::chrono::seconds(10));
    if (!spread_.empty()) {
        std::sort(spread_.begin(), spread_.end());
        it.spread_p50 = spread_[spread_.size() / 2];
        it.spread_max = spread_.back();
    }
    auto expected = static_cast<std::size_t>(changes) * count_;
    if (spread_.size() != expected)
        std::cerr << name << ": " << expected - spread_.size()
                  << " changes did not arrive within 10 s\n";
    return it;
}

Json::Value to_json(int nodes, double heap, const phase_result& it)
{
    Json::Value row;
    row["nodes"] = nodes;
    row["phase"] = it.name;
    row["bytes_sent_per_node_second"] = it.bytes_per_node_second;
    row["messages_per_node_second"] = it.messages_per_node_second;
    row["streams_per_node_second"] = it.streams_per_node_second;
    row["cpu_percent_of_core"] = it.cpu_percent;
    row["platform_calls_per_minute"] = it.platform_calls_per_minute;
    row["spread_p50_seconds"] = it.spread_p50;
    row["spread_max_seconds"] = it.spread_max;
    row["heap_bytes_per_member"] = heap;
    for (const auto& [method, bytes] : it.bytes_by_method)
        row["bytes_by_method"][method] = bytes;
    return row;
}

void print_row(int nodes, double heap, const phase_result& it)
{
    std::printf("%6d %-8s %9.0f %8.1f %8.2f %7.2f %9.0f %8.2f %8.2f %8.0f\n",
                nodes, it.name.c_str(), it.bytes_per_node_second,
                it.messages_per_node_second, it.streams_per_node_second,
                it.cpu_percent, it.platform_calls_per_minute, it.spread_p50,
                it.spread_max, heap);
    std::fflush(stdout);
}

int run(const std::vector<int>& counts, const std::string& json_file)
{
    boost::log::core::get()->set_logging_enabled(false);
    std::printf("%6s %-8s %9s %8s %8s %7s %9s %8s %8s %8s\n", "nodes", "phase",
                "B/s sent", "msgs/s", "TCP/s", "CPU %", "calls/min", "p50 s",
                "max s", "B/member");
    Json::Value rows(Json::arrayValue);
    for (auto count : counts) {
        fleet_bench bench(count);
        if (!bench.form())
            std::cerr << count << " nodes did not find each other\n";
        const std::pair<const char*, double> phases[] = {
            {"rest", 0}, {"1.04/s", 1.04}, {"10.4/s", 10.4}};
        for (const auto& [name, rate] : phases) {
            auto it = bench.measure(name, rate);
            print_row(count, bench.heap_per_member(), it);
            rows.append(to_json(count, bench.heap_per_member(), it));
        }
    }
    if (!json_file.empty())
        std::ofstream(json_file) << rows << '\n';
    return 0;
}

} // namespace

} // namespace shallotwood::bench

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::vector<int> counts;
    std::string json_file;
    po::options_description options("Usage: bench_membership [options]");
    options.add_options()("help", "print this text")(
        "nodes", po::value(&counts)->multitoken(),
        "numbers of nodes (default 50 100 200 500 1000)")(
        "json", po::value(&json_file), "write the results to this file");
    try {
        po::variables_map given;
        po::store(po::parse_command_line(argc, argv, options), given);
        po::notify(given);
        if (given.count("help") != 0) {
            std::cout << options;
            return 0;
        }
    } catch (const po::error& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
    if (counts.empty())
        counts = {50, 100, 200, 500, 1'000};
    return shallotwood::bench::run(counts, json_file);
}
