#include "process/load/cost_model.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <functional>

namespace shallotwood::process::load
{

namespace
{

constexpr duration half_life = std::chrono::seconds(30);

// A kind of feature is used while its error is at most this share of that of
// the mean, measured over at least this many observations.
constexpr double required_error_share = 0.9;
constexpr std::uint64_t min_compared = 50;

// Predictions are compared after this many observations of a route. One slow
// request among the first distorts the mean, and any feature that has missed it
// would seem better.
constexpr std::uint64_t first_compared = 20;

// The mean of a route counts as this many observations of each feature. With
// the plain mean of a few observations, one slow request would decide.
constexpr double prior_weight = 8;

// Segments of the path that belong to its shape, and the longest one that is
// not taken for an identifier.
constexpr std::size_t shape_segments = 3;
constexpr std::size_t max_segment_length = 24;

constexpr double least_ratio = 1.0 / 16;
constexpr double classes_per_doubling = 2;

constexpr std::array<std::string_view, cost_feature_count> feature_names = {
    "method", "workspace", "body_size", "path_shape"};

constexpr std::array<cost_feature, cost_feature_count> all_features = {
    cost_feature::method, cost_feature::workspace, cost_feature::body_size,
    cost_feature::path_shape};

std::size_t index_of(cost_feature kind)
{
    return static_cast<std::size_t>(kind);
}

// Sizes within a factor of 4 share a class; 0 is one of its own.
std::uint64_t size_class(std::uint64_t bytes)
{
    std::uint64_t n = 0;
    for (; bytes > 0; bytes /= 4)
        ++n;
    return n;
}

bool is_identifier(std::string_view segment)
{
    return segment.size() > max_segment_length ||
           std::any_of(segment.begin(), segment.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

// The first segments of the path, with those that look like identifiers
// replaced.
std::string shape_of(std::string_view target)
{
    auto path = target.substr(0, target.find('?'));
    std::string shape;
    for (std::size_t n = 0; n < shape_segments && !path.empty(); ++n) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        auto end = std::min(path.find('/'), path.size());
        auto segment = path.substr(0, end);
        shape += '/';
        shape += is_identifier(segment) ? "#" : segment;
        path.remove_prefix(end);
    }
    return shape;
}

std::uint64_t hash_of(std::string_view text)
{
    return std::hash<std::string_view>()(text);
}

double decay_factor(duration elapsed)
{
    return std::exp2(-static_cast<double>(elapsed.count()) /
                     static_cast<double>(half_life.count()));
}

duration to_duration(double microseconds)
{
    return duration(static_cast<duration::rep>(std::llround(microseconds)));
}

double square(double it)
{
    return it * it;
}

} // namespace

std::string_view name_of(cost_feature kind)
{
    return feature_names.at(index_of(kind));
}

cost_features::cost_features(std::string_view method,
                             std::string_view workspace,
                             std::string_view target,
                             std::optional<std::uint64_t> body_bytes)
    : hashes_{hash_of(method), hash_of(workspace),
              body_bytes ? size_class(*body_bytes) + 1 : 0,
              hash_of(shape_of(target))}
{
}

void cost_model::route_state::decay(double factor)
{
    weight *= factor;
    sum *= factor;
    error_weight *= factor;
    mean_error *= factor;
    for (auto& it : feature_errors)
        it *= factor;
    for (auto& it : ratios) {
        it.weight *= factor;
        it.sum *= factor;
    }
}

std::size_t cost_model::class_of(double ratio)
{
    if (ratio <= least_ratio)
        return 0;
    auto n = classes_per_doubling * std::log2(ratio / least_ratio);
    return static_cast<std::size_t>(
        std::min(n, static_cast<double>(ratio_classes - 1)));
}

std::uint64_t cost_model::cell_key(const std::string& route, cost_feature kind,
                                   const cost_features& features)
{
    // Odd multipliers of 64 bits spread the three parts.
    return hash_of(route) * 0x9e3779b97f4a7c15U ^
           (features[kind] + index_of(kind) + 1) * 0xc2b2ae3d27d4eb4fU ^
           (index_of(kind) + 1) * 0x165667b19e3779f9U;
}

// The squared error is the measure, since the mean minimizes it: with the
// absolute one, any cell that has missed the slow requests would seem better.
std::optional<cost_feature> cost_model::used_feature(const route_state& it)
{
    if (it.compared < min_compared)
        return std::nullopt;
    auto best = best_feature(it);
    auto error = it.feature_errors.at(index_of(best));
    bool better = error < square(required_error_share) * it.mean_error;
    return better ? std::optional(best) : std::nullopt;
}

cost_feature cost_model::best_feature(const route_state& it)
{
    auto best =
        std::min_element(it.feature_errors.begin(), it.feature_errors.end());
    return static_cast<cost_feature>(best - it.feature_errors.begin());
}

cost_model::route_state& cost_model::touch_route(const std::string& route)
{
    auto found = routes_.find(route);
    if (found != routes_.end()) {
        route_order_.splice(route_order_.begin(), route_order_,
                            found->second.place);
        return found->second;
    }
    if (routes_.size() >= max_routes) {
        routes_.erase(route_order_.back());
        route_order_.pop_back();
    }
    route_order_.push_front(route);
    auto& it = routes_[route];
    it.place = route_order_.begin();
    it.updated = clock_.now();
    return it;
}

void cost_model::evict_cell()
{
    auto& from =
        cells_seen_once_.empty() ? cells_seen_again_ : cells_seen_once_;
    cells_.erase(from.back());
    from.pop_back();
}

void cost_model::add_to_cell(std::uint64_t key, double elapsed)
{
    auto now = clock_.now();
    if (auto found = cells_.find(key); found != cells_.end()) {
        auto& it = found->second;
        auto& from = it.seen_again ? cells_seen_again_ : cells_seen_once_;
        cells_seen_again_.splice(cells_seen_again_.begin(), from, it.place);
        it.seen_again = true;
        auto factor = decay_factor(now - it.updated);
        it.weight = it.weight * factor + 1;
        it.sum = it.sum * factor + elapsed;
        it.updated = now;
        return;
    }
    if (cells_.size() >= max_feature_cells)
        evict_cell();
    cells_seen_once_.push_front(key);
    cells_[key] = {1, elapsed, now, false, cells_seen_once_.begin()};
}

double cost_model::cell_estimate(std::uint64_t key, double route_mean) const
{
    auto found = cells_.find(key);
    if (found == cells_.end())
        return route_mean;
    const auto& it = found->second;
    auto factor = decay_factor(clock_.now() - it.updated);
    return (it.sum * factor + prior_weight * route_mean) /
           (it.weight * factor + prior_weight);
}

void cost_model::record(const std::string& route, const cost_features& features,
                        duration elapsed)
{
    auto time = static_cast<double>(std::max(elapsed, duration(1)).count());
    auto& it = touch_route(route);
    auto now = clock_.now();
    it.decay(decay_factor(now - it.updated));
    it.updated = now;
    if (auto mean = it.mean(); mean > 0) {
        // Errors of what would have been predicted without this observation.
        auto used = used_feature(it);
        auto predicted = mean;
        bool compare = it.observations >= first_compared;
        for (auto kind : all_features) {
            auto by_kind = cell_estimate(cell_key(route, kind, features), mean);
            if (used == kind)
                predicted = by_kind;
            if (!compare)
                continue;
            it.feature_errors.at(index_of(kind)) += square(time - by_kind);
        }
        if (compare) {
            it.mean_error += square(time - mean);
            it.error_weight += 1;
            ++it.compared;
            ++totals_.compared;
            totals_.by_estimate += to_duration(std::abs(time - predicted));
            totals_.by_mean += to_duration(std::abs(time - mean));
        }
        auto ratio = time / predicted;
        auto& ratios = it.ratios.at(class_of(ratio));
        ratios.weight += 1;
        ratios.sum += ratio;
    }
    it.weight += 1;
    it.sum += time;
    ++it.observations;
    for (auto kind : all_features)
        add_to_cell(cell_key(route, kind, features), time);
}

duration cost_model::estimate(const std::string& route,
                              const cost_features& features) const
{
    auto found = routes_.find(route);
    if (found == routes_.end())
        return {};
    const auto& it = found->second;
    auto used = used_feature(it);
    return to_duration(
        used ? cell_estimate(cell_key(route, *used, features), it.mean())
             : it.mean());
}

duration cost_model::rest(const std::string& route, duration cost,
                          duration age) const
{
    auto found = routes_.find(route);
    if (found == routes_.end() || cost.count() <= 0)
        return std::max(duration(0), cost - age);
    auto scale = static_cast<double>(cost.count());
    auto ratio =
        static_cast<double>(std::max(age, duration(0)).count()) / scale;
    double weight = 0;
    double sum = 0;
    const auto& ratios = found->second.ratios;
    for (auto n = class_of(ratio); n < ratios.size(); ++n) {
        const auto& it = ratios.at(n);
        // Of the class of the age, only what lies above it on average.
        if (it.weight <= 0 || it.sum <= ratio * it.weight)
            continue;
        weight += it.weight;
        sum += it.sum;
    }
    // A request that has outlasted all observed ones says that the server has
    // become slow; it is expected to need its cost once more.
    return weight > 0 ? to_duration(scale * (sum / weight - ratio)) : cost;
}

std::optional<cost_errors> cost_model::errors(const std::string& route) const
{
    auto found = routes_.find(route);
    if (found == routes_.end())
        return std::nullopt;
    const auto& it = found->second;
    auto best = best_feature(it);
    auto root_mean = [&it](double sum) {
        return to_duration(
            it.error_weight > 0 ? std::sqrt(sum / it.error_weight) : 0);
    };
    return cost_errors{best, used_feature(it).has_value(),
                       root_mean(it.feature_errors.at(index_of(best))),
                       root_mean(it.mean_error), it.compared};
}

std::vector<std::string> cost_model::routes() const
{
    return {route_order_.begin(), route_order_.end()};
}

} // namespace shallotwood::process::load
