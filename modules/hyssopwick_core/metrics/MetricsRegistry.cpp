#include "MetricsRegistry.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <sstream>

namespace hyssopwick {

namespace {

    constexpr double smallestBucketMilliseconds = 0.25;
    constexpr double largestBucketMilliseconds = 65536;
    constexpr unsigned bucketCount = 18;

    auto makeTimeHistogram()
    {
        using namespace boost::histogram;
        return make_histogram(axis::regular<double, axis::transform::log>(
            bucketCount, smallestBucketMilliseconds, largestBucketMilliseconds));
    }

    using TimeHistogram = decltype(makeTimeHistogram());

    struct Series {
        TimeHistogram histogram = makeTimeHistogram();
        double sum = 0;
        std::uint64_t count = 0;
    };

    void writeSeries(std::ostringstream& out, const std::string& name, const Series& series)
    {
        double cumulative = series.histogram.at(-1);
        out << "# TYPE hyssopwick_" << name << "_milliseconds histogram\n";
        for (unsigned i = 0; i < bucketCount; ++i) {
            cumulative += series.histogram.at(static_cast<int>(i));
            out << "hyssopwick_" << name << "_milliseconds_bucket{le=\"" << series.histogram.axis().bin(static_cast<int>(i)).upper()
                << "\"} " << cumulative << "\n";
        }
        out << "hyssopwick_" << name << "_milliseconds_bucket{le=\"+Inf\"} " << series.count << "\n";
        out << "hyssopwick_" << name << "_milliseconds_sum " << series.sum << "\n";
        out << "hyssopwick_" << name << "_milliseconds_count " << series.count << "\n";
    }

}

struct MetricsRegistry::State {
    mutable std::mutex mutex;
    std::map<std::string, std::map<std::string, std::uint64_t>> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, Series> histograms;
};

MetricsRegistry::MetricsRegistry()
    : m_state(std::make_unique<State>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::count(const std::string& name, const std::string& label, std::uint64_t amount)
{
    std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->counters[name][label] += amount;
}

void MetricsRegistry::gauge(const std::string& name, double value)
{
    std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->gauges[name] = value;
}

void MetricsRegistry::observe(const std::string& name, double milliseconds)
{
    std::lock_guard<std::mutex> lock(m_state->mutex);
    auto& series = m_state->histograms[name];
    series.histogram(milliseconds);
    series.sum += milliseconds;
    ++series.count;
}

std::uint64_t MetricsRegistry::counter(const std::string& name, const std::string& label) const
{
    std::lock_guard<std::mutex> lock(m_state->mutex);
    const auto counter = m_state->counters.find(name);
    if (counter == m_state->counters.end())
        return 0;
    const auto value = counter->second.find(label);
    return value == counter->second.end() ? 0 : value->second;
}

std::string MetricsRegistry::prometheusText() const
{
    std::lock_guard<std::mutex> lock(m_state->mutex);
    std::ostringstream out;
    for (const auto& [name, labels] : m_state->counters) {
        out << "# TYPE hyssopwick_" << name << " counter\n";
        for (const auto& [label, value] : labels) {
            out << "hyssopwick_" << name;
            if (!label.empty())
                out << "{reason=\"" << label << "\"}";
            out << " " << value << "\n";
        }
    }
    for (const auto& [name, value] : m_state->gauges)
        out << "# TYPE hyssopwick_" << name << " gauge\nhyssopwick_" << name << " " << value << "\n";
    for (const auto& [name, series] : m_state->histograms)
        writeSeries(out, name, series);
    return out.str();
}

}
