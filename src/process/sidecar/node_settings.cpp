#include "process/sidecar/node_settings.hpp"

#include "process/address.hpp"

#include <fstream>
#include <sstream>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace shallotwood::process::sidecar
{

namespace
{

// File descriptors reserved for uses other than caller connections.
constexpr std::int64_t reserved_descriptors = 1500;

// Reads and validates fields, and collects the errors.
class reader
{
public:
    explicit reader(const toml::table& table) : table_(table) {}

    std::string text(const char* name)
    {
        auto value = table_[name].value<std::string>();
        if (!value || value->empty()) {
            add_error(name, "a non-empty string is required");
            return {};
        }
        return *value;
    }

    peer_address address(const char* name)
    {
        return to_address(name, text(name));
    }

    std::vector<peer_address> addresses(const char* name)
    {
        std::vector<peer_address> all;
        if (const auto* list = table_[name].as_array())
            for (const auto& it : *list)
                all.push_back(to_address(name, it.value_or(std::string())));
        return all;
    }

    double number(const char* name, double least, double most)
    {
        auto value = table_[name].value<double>();
        // Negated, so that NaN fails as well.
        if (!value || !(*value >= least && *value <= most)) {
            add_error(name, "a number from " + std::to_string(least) + " to " +
                                std::to_string(most) + " is required");
            return least;
        }
        return *value;
    }

    std::optional<double> optional_number(const char* name, double least,
                                          double most)
    {
        if (table_.get(name) == nullptr)
            return std::nullopt;
        return number(name, least, most);
    }

    duration seconds(const char* name, double least, double most)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(number(name, least, most)));
    }

    std::optional<duration> optional_seconds(const char* name, double least,
                                             double most)
    {
        if (!table_.contains(name))
            return std::nullopt;
        return seconds(name, least, most);
    }

    std::vector<std::string> take_errors() { return std::move(faults_); }

private:
    peer_address to_address(const char* name, const std::string& value)
    {
        if (auto parsed = parse_address(value))
            return *parsed;
        if (!value.empty())
            add_error(name, "not an address and port: " + value);
        return {};
    }

    void add_error(const char* name, const std::string& message)
    {
        std::ostringstream out;
        const auto* node = table_.get(name);
        out << (node == nullptr ? 0 : node->source().begin.line) << ": " << name
            << ": " << message;
        faults_.push_back(out.str());
    }

    const toml::table& table_;
    std::vector<std::string> faults_;
};

} // namespace

settings_result parse_node_settings(std::string_view text)
{
    auto parsed = toml::parse(text);
    if (!parsed) {
        std::ostringstream out;
        out << parsed.error().source().begin.line << ": "
            << parsed.error().description();
        return settings_error{{out.str()}};
    }
    reader from(parsed.table());
    node_settings to;
    to.name = from.text("name");
    to.failure_domain = from.text("failure_domain");
    to.service = from.text("service");
    to.backend_address = from.address("backend_address");
    to.caller_address = from.address("caller_address");
    to.peer_listen_address = from.address("peer_address");
    to.announce_address = from.address("announce_address");
    to.readiness_address = from.address("readiness_address");
    to.metrics_address = from.address("metrics_address");
    to.platform_address = from.address("platform_address");
    to.seeds = from.addresses("seeds");
    to.success_retry_budget = from.number("retry_ratio", 0, 10);
    to.retry_allowance = from.number("retry_allowance", 0, 1e9);
    to.retry_window = from.seconds("retry_window", 0.1, 3600);
    to.shutdown_limit = from.seconds("shutdown_limit", 0.1, 3600);
    to.isolation_limit = from.seconds("isolation_limit", 0.1, 3600);
    to.cold_excess = from.optional_number("cold_excess", 0, 1000);
    to.cold_slack = from.optional_number("cold_slack", 0, 1e6);
    to.evacuation_limit = from.optional_seconds("evacuation_limit", 0.1, 3600);
    auto descriptors = static_cast<std::int64_t>(
        from.number("max_descriptors", 300, 10'000'000));
    to.max_connections = static_cast<std::size_t>(std::max<std::int64_t>(
        descriptors - reserved_descriptors, descriptors / 4));
    to.placement_by_cost = parsed.table()["placement_by_cost"].value_or(false);
    to.fleet_is_new = parsed.table()["fleet_is_new"].value_or(false);
    if (auto faults = from.take_errors(); !faults.empty())
        return settings_error{std::move(faults)};
    return to;
}

settings_result load_node_settings(const std::string& file_name)
{
    std::ifstream file(file_name, std::ios::binary);
    if (!file)
        return settings_error{{"0: cannot read the file: " + file_name}};
    std::string text(max_settings_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_settings_bytes)
        return settings_error{{"0: the file is too large: " + file_name}};
    return parse_node_settings(text);
}

} // namespace shallotwood::process::sidecar
