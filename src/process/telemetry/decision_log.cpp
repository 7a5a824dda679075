#include "process/telemetry/decision_log.hpp"

#include "process/log.hpp"
#include "process/telemetry/line_writer.hpp"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace shallotwood::process::telemetry
{

namespace
{

// Quotas by decision kind, in the order of the enum.
constexpr std::array<int, 4> max_lines_per_second = {100, 60, 100, 100};

constexpr duration report_interval = std::chrono::seconds(1);

struct line_quotas {
    std::array<int, 4> left = max_lines_per_second;
    std::uint64_t suppressed = 0;
    std::uint64_t dropped = 0;
};

line_quotas& quotas()
{
    static line_quotas it;
    return it;
}

// Standard output, flushed once in each turn of the loop.
class output
{
public:
    void append(std::string_view line)
    {
        if (!lines_.append(line)) {
            ++quotas().dropped;
            return;
        }
        if (loop_ == nullptr) {
            lines_.flush();
            return;
        }
        if (!flush_scheduled_) {
            flush_scheduled_ = true;
            loop_->defer([this] { flush(); });
        }
    }

    void flush()
    {
        flush_scheduled_ = false;
        lines_.flush();
    }

    void set_loop(loop::reactor* loop) { loop_ = loop; }

private:
    loop::reactor* loop_ = nullptr;
    line_writer lines_{STDOUT_FILENO};
    bool flush_scheduled_ = false;
};

output& standard_output()
{
    static output it;
    return it;
}

class stdout_sink_backend
    : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
    void consume(const boost::log::record_view&, const std::string& line)
    {
        standard_output().append(line);
    }
};

void report(loop::reactor& loop)
{
    auto& it = quotas();
    it.left = max_lines_per_second;
    if (it.suppressed + it.dropped > 0)
        SHALLOTWOOD_LOG(info)
            << "event=log_lines_dropped" << field("over_limit", it.suppressed)
            << field("reader_slow", it.dropped);
    it.suppressed = 0;
    it.dropped = 0;
    standard_output().flush();
    loop.call_after(report_interval, [&loop] { report(loop); });
}

} // namespace

bool allow(decision kind)
{
    auto& it = quotas();
    auto& left = it.left.at(static_cast<std::size_t>(kind));
    if (left > 0) {
        --left;
        return true;
    }
    ++it.suppressed;
    return false;
}

void start_log(loop::reactor& loop)
{
    namespace expr = boost::log::expressions;
    using sink = boost::log::sinks::synchronous_sink<stdout_sink_backend>;
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    standard_output().set_loop(&loop);
    boost::log::add_common_attributes();
    auto it = boost::make_shared<sink>();
    it->set_formatter(expr::stream
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                      << " level=" << boost::log::trivial::severity << ' '
                      << expr::smessage);
    boost::log::core::get()->add_sink(it);
    boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                        boost::log::trivial::info);
    report(loop);
}

void stop_log()
{
    standard_output().set_loop(nullptr);
    standard_output().flush();
}

void reset_limits()
{
    quotas() = line_quotas{};
}

} // namespace shallotwood::process::telemetry
