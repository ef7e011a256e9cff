#include "masticpin/metrics/metrics_registry.h"

#include <array>
#include <cassert>
#include <charconv>
#include <chrono>
#include <system_error>

namespace masticpin {
namespace {

constexpr std::string_view kOverflowLabels = "overflow=\"true\"";

// A metric name may contain colons; a label name must not.
[[maybe_unused]] bool IsValidMetricName(std::string_view name, bool colon_allowed) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_0123456789:";
  return !name.empty() && (name[0] < '0' || name[0] > '9') &&
         name.find_first_not_of(kAllowed) == std::string_view::npos &&
         (colon_allowed || name.find(':') == std::string_view::npos);
}

// Escapes a label value (with `quotes`) or a help text (without).
std::string Escape(std::string_view text, bool quotes) {
  std::string result;
  for (const char c : text) {
    if (c == '\n') {
      result += "\\n";
    } else if (c == '\\' || (c == '"' && quotes)) {
      result.append("\\").push_back(c);
    } else {
      result += c;
    }
  }
  return result;
}

std::string FormatLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    assert(IsValidMetricName(name, /*colon_allowed=*/false));
    text += (text.empty() ? "" : ",") + name + "=\"" + Escape(value, /*quotes=*/true) + "\"";
  }
  return text;
}

std::string FormatSeconds(Duration duration) {
  // to_chars() yields the shortest text that parses back to the same number, independent of the
  // locale.
  std::array<char, 32> buffer{};
  const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                                          std::chrono::duration<double>(duration).count());
  assert(error == std::errc());
  return {buffer.data(), end};
}

// Appends "name{labels} value".
void AppendSample(std::string& text,
                  std::string_view name,
                  std::string_view labels,
                  std::string_view value) {
  text.append(name);
  if (!labels.empty()) {
    text.append("{").append(labels).append("}");
  }
  text.append(" ").append(value).append("\n");
}

// Appends the samples of one series.
struct SeriesWriter {
  std::string& text;
  const std::string& name;
  const std::string& labels;

  void operator()(const std::unique_ptr<Counter>& counter) const {
    AppendSample(this->text, this->name, this->labels, std::to_string(counter->Value()));
  }

  void operator()(const std::unique_ptr<Gauge>& gauge) const {
    AppendSample(this->text, this->name, this->labels, std::to_string(gauge->Value()));
  }

  void operator()(const std::unique_ptr<LatencyHistogram>& histogram) const {
    const std::string prefix = this->labels.empty() ? "" : this->labels + ",";
    std::uint64_t count = 0;
    for (const LatencyHistogram::Bucket& bucket : histogram->Read()) {
      count += bucket.count;
      const std::string bound =
          bucket.upper == Duration::max() ? "+Inf" : FormatSeconds(bucket.upper);
      AppendSample(this->text, this->name + "_bucket", prefix + "le=\"" + bound + "\"",
                   std::to_string(count));
    }
    AppendSample(this->text, this->name + "_sum", this->labels, FormatSeconds(histogram->Sum()));
    AppendSample(this->text, this->name + "_count", this->labels, std::to_string(count));
  }
};

// Type names of the text format, indexed like the alternatives of the variant.
constexpr std::array<std::string_view, 3> kTypeNames = {"counter", "gauge", "histogram"};

}  // namespace

template <typename T>
T& MetricsRegistry::Get(std::string_view name, std::string_view help, const MetricLabels& labels) {
  assert(IsValidMetricName(name, /*colon_allowed=*/true));
  std::string key = FormatLabels(labels);
  const std::lock_guard lock(this->mutex);
  auto family = this->families.find(name);
  if (family == this->families.end()) {
    family = this->families.emplace(name, Family{std::string(help), {}}).first;
  }
  auto& series = family->second.series;
  if (series.size() >= kMaxSeries && !series.contains(key)) {
    key = kOverflowLabels;
  }
  auto found = series.find(key);
  if (found == series.end()) {
    found = series.emplace(std::move(key), std::make_unique<T>()).first;
  }
  // All series of a name must have the same type in the text format.
  assert(series.begin()->second.index() == found->second.index());
  return *std::get<std::unique_ptr<T>>(found->second);
}

Counter& MetricsRegistry::GetCounter(std::string_view name,
                                     std::string_view help,
                                     const MetricLabels& labels) {
  return this->Get<Counter>(name, help, labels);
}

Gauge& MetricsRegistry::GetGauge(std::string_view name,
                                 std::string_view help,
                                 const MetricLabels& labels) {
  return this->Get<Gauge>(name, help, labels);
}

LatencyHistogram& MetricsRegistry::GetHistogram(std::string_view name,
                                                std::string_view help,
                                                const MetricLabels& labels) {
  return this->Get<LatencyHistogram>(name, help, labels);
}

std::string MetricsRegistry::WriteText() const {
  std::string text;
  const std::lock_guard lock(this->mutex);
  for (const auto& [name, family] : this->families) {
    text.append("# HELP ").append(name).append(" ");
    text.append(Escape(family.help, /*quotes=*/false)).append("\n");
    const std::string_view type = kTypeNames[family.series.begin()->second.index()];
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    for (const auto& [labels, metric] : family.series) {
      std::visit(SeriesWriter{text, name, labels}, metric);
    }
  }
  return text;
}

}  // namespace masticpin
