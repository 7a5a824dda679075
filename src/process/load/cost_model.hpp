// Expected time of a request on the local backend server.
//
// The expectation is the mean of the request's route, or that of the requests
// of the route that share a feature which is visible before the request runs.
// A kind of feature is used on a route only while it has predicted better than
// the mean. Old observations are forgotten with a half-life of 30 s.
//
// Bounded: max_routes routes and max_feature_cells values of features. If there
// are more, the routes that were used least recently are evicted, and of the
// features first those that were seen only once.
#pragma once

#include "process/event_loop.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::load
{

enum class cost_feature { method, workspace, body_size, path_shape };
constexpr std::size_t cost_feature_count = 4;

std::string_view name_of(cost_feature kind);

// The features of a request, by kind, as hashes.
class cost_features
{
public:
    cost_features() = default;
    // `body_bytes` is empty if the length is not known in advance. `target` is
    // the path with the query.
    cost_features(std::string_view method, std::string_view workspace,
                  std::string_view target,
                  std::optional<std::uint64_t> body_bytes);

    std::uint64_t operator[](cost_feature kind) const
    {
        return hashes_.at(static_cast<std::size_t>(kind));
    }
    friend bool operator==(const cost_features& a, const cost_features& b)
    {
        return a.hashes_ == b.hashes_;
    }

private:
    std::array<std::uint64_t, cost_feature_count> hashes_{};
};

// How well the times of a route's requests are predicted.
struct cost_errors {
    // The kind with the least error, and whether it is used.
    cost_feature best = cost_feature::method;
    bool used = false;
    // Root mean square errors.
    duration by_feature{};
    duration by_mean{};
    // Number of observations, old ones included.
    std::uint64_t compared = 0;

    auto fields() const
    {
        return std::tie(best, used, by_feature, by_mean, compared);
    }
    friend bool operator==(const cost_errors& a, const cost_errors& b)
    {
        return a.fields() == b.fields();
    }
};

// Sums over all compared predictions, for counters.
struct cost_totals {
    std::uint64_t compared = 0;
    // Absolute errors of the estimates, and of the means of the routes.
    duration by_estimate{};
    duration by_mean{};
};

class cost_model
{
public:
    static constexpr std::size_t max_routes = 256;
    static constexpr std::size_t max_feature_cells = 768;

    explicit cost_model(const clock& time) : clock_(time) {}

    // A request has ended after `elapsed` on the backend server.
    void record(const std::string& route, const cost_features& features,
                duration elapsed);

    // Expected time of a request that starts now; 0 if none of the route has
    // been observed.
    duration estimate(const std::string& route,
                      const cost_features& features) const;

    // Expected time until a running request ends: `cost` was its estimate when
    // it started, `age` is how long it has run.
    duration rest(const std::string& route, duration cost, duration age) const;

    // Nothing if no request of the route has been observed.
    std::optional<cost_errors> errors(const std::string& route) const;
    const cost_totals& totals() const { return totals_; }
    // Routes in use, the latest first.
    std::vector<std::string> routes() const;
    std::size_t cells() const { return routes_.size() + cells_.size(); }

private:
    // Observations that share a feature; sums of decayed weights.
    struct cell {
        double weight = 0;
        // Microseconds.
        double sum = 0;
        time_point updated{};
        bool seen_again = false;
        std::list<std::uint64_t>::iterator place;
    };
    // Observed times relative to their estimates. A class covers a factor of
    // the square root of 2, from 1/16 up to 256.
    static constexpr std::size_t ratio_classes = 24;
    struct ratio_class {
        double weight = 0;
        double sum = 0;
    };
    struct route_state {
        double weight = 0;
        double sum = 0;
        time_point updated{};
        std::uint64_t observations = 0;
        // Those whose predictions were compared.
        std::uint64_t compared = 0;
        // Decayed sums of squared errors, and of their weights.
        double error_weight = 0;
        double mean_error = 0;
        std::array<double, cost_feature_count> feature_errors{};
        std::array<ratio_class, ratio_classes> ratios{};
        std::list<std::string>::iterator place;

        double mean() const { return weight > 0 ? sum / weight : 0; }
        void decay(double factor);
    };
    static std::size_t class_of(double ratio);
    static std::uint64_t cell_key(const std::string& route, cost_feature kind,
                                  const cost_features& features);
    static cost_feature best_feature(const route_state& it);
    static std::optional<cost_feature> used_feature(const route_state& it);

    route_state& touch_route(const std::string& route);
    void add_to_cell(std::uint64_t key, double elapsed);
    void evict_cell();
    double cell_estimate(std::uint64_t key, double route_mean) const;

    const clock& clock_;
    cost_totals totals_;
    std::unordered_map<std::string, route_state> routes_;
    std::unordered_map<std::uint64_t, cell> cells_;
    // Each with the latest use first.
    std::list<std::string> route_order_;
    std::list<std::uint64_t> cells_seen_once_;
    std::list<std::uint64_t> cells_seen_again_;
};

} // namespace shallotwood::process::load
