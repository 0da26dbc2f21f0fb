#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace hyssopwick {

/// Counters, gauges and duration histograms of one process, exported as Prometheus text.
/// Thread-safe.
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();

    /// Adds \p amount to the counter \p name, for example refusals_total.
    /// \param label  value of the label "reason"; "" for none
    void count(const std::string& name, const std::string& label = "", std::uint64_t amount = 1);

    /// Sets the gauge \p name.
    void gauge(const std::string& name, double value);

    /// Records a duration in the histogram \p name.
    void observe(const std::string& name, double milliseconds);

    /// Returns the value of a counter; 0 if it was never incremented.
    std::uint64_t counter(const std::string& name, const std::string& label = "") const;

    /// Returns every metric as Prometheus text.
    std::string prometheusText() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
