// Metrics based on Boost.Accumulators. The extended P-square algorithm
// estimates the quantiles from a few markers, without storing the samples.

#include "cicadadrum/telemetry/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <sstream>

namespace cicadadrum {

namespace {

namespace acc = boost::accumulators;

using Summary =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// The algorithm interpolates between the markers, so more markers are kept than
// quantiles are reported.
constexpr std::array<double, 7> kMarkerProbabilities = {0.25, 0.5,   0.75,  0.9,
                                                        0.99, 0.999, 0.9999};
constexpr std::array<double, 3> kReportedQuantiles = {0.5, 0.99, 0.999};
// The algorithm has no estimate until it has two samples for each marker.
constexpr std::size_t kMinSamples = 2 * kMarkerProbabilities.size() + 3;
constexpr double kMicrosecondsPerSecond = 1e6;

using Series = std::map<std::string, double, std::less<>>;

void RenderSeries(std::ostringstream& out,
                  const std::map<std::string, Series>& families,
                  std::string_view type) {
  for (const auto& [name, series] : families) {
    out << "# TYPE " << name << ' ' << type << '\n';
    for (const auto& [labels, value] : series)
      out << name << (labels.empty() ? "" : "{" + labels + "}") << ' ' << value
          << '\n';
  }
}

}  // namespace

struct Metrics::Impl {
  std::map<std::string, Series> counters;
  std::map<std::string, Series> gauges;
  std::map<std::string, std::map<std::string, Summary>> summaries;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name,
                    std::string_view labels,
                    double amount) {
  impl_->counters[std::string(name)][std::string(labels)] += amount;
}

void Metrics::SetGauge(std::string_view name,
                       std::string_view labels,
                       double value) {
  impl_->gauges[std::string(name)][std::string(labels)] = value;
}

void Metrics::Observe(std::string_view name,
                      std::string_view labels,
                      Duration sample) {
  auto& series = impl_->summaries[std::string(name)];
  const auto found = series
                         .try_emplace(std::string(labels),
                                      acc::extended_p_square_probabilities =
                                          kMarkerProbabilities)
                         .first;
  found->second(static_cast<double>(sample.count()) / kMicrosecondsPerSecond);
}

std::string Metrics::Render() const {
  std::ostringstream out;
  RenderSeries(out, impl_->counters, "counter");
  RenderSeries(out, impl_->gauges, "gauge");
  for (const auto& [name, series] : impl_->summaries) {
    out << "# TYPE " << name << " summary\n";
    for (const auto& [labels, summary] : series) {
      const std::string separator = labels.empty() ? "" : ",";
      for (const double probability : kReportedQuantiles) {
        if (acc::count(summary) < kMinSamples)
          break;
        out << name << '{' << labels << separator << "quantile=\""
            << probability << "\"} "
            << acc::quantile(summary, acc::quantile_probability = probability)
            << '\n';
      }
      const std::string braces = labels.empty() ? "" : "{" + labels + "}";
      out << name << "_sum" << braces << ' ' << acc::sum(summary) << '\n';
      out << name << "_count" << braces << ' ' << acc::count(summary) << '\n';
    }
  }
  return out.str();
}

}  // namespace cicadadrum
