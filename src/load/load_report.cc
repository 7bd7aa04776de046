#include "load/load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace geranium {
namespace {

using Json = nlohmann::json;

template <class... Args>
std::string Format(const char* format, Args... args) {
  char text[256];
  std::snprintf(text, sizeof text, format, args...);
  return text;
}

double Ratio(double value, double count) {
  return count > 0 ? value / count : 0;
}

}  // namespace

bool LoadReport::IsAccountedFor() const {
  const bool all_answered =
      std::ranges::all_of(kinds, [](const KindReport& kind) {
        return kind.answered() == kind.sent && kind.mismatched == 0;
      });
  return all_answered && entries.violations == 0;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const double position = std::ceil(q * static_cast<double>(values.size())) - 1;
  const auto rank = static_cast<std::ptrdiff_t>(std::max(0.0, position));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

std::string ToTable(const LoadReport& report) {
  std::string table =
      "kind      sent  complete  not_run  may_have_run  ran_failed  no_answer"
      "  mismatched  p50/ideal  p99/ideal  p50+ms  p99+ms\n";
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    const KindReport& kind = report.kinds[i];
    const auto n = [](std::uint64_t v) {
      return static_cast<unsigned long long>(v);
    };
    table += Format(
        "%-8s %5llu  %8llu  %7llu  %12llu  %10llu  %9llu  %10llu  %9.3f  "
        "%9.3f  %6.1f  %6.1f\n",
        std::string(Name(static_cast<WorkKind>(i))).c_str(), n(kind.sent),
        n(kind.complete), n(kind.not_run), n(kind.may_have_run),
        n(kind.ran_failed), n(kind.no_answer), n(kind.mismatched),
        Quantile(kind.ratios, 0.5), Quantile(kind.ratios, 0.99),
        Quantile(kind.overheads_ms, 0.5), Quantile(kind.overheads_ms, 0.99));
  }
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    for (const auto& [code, count] : report.kinds[i].error_codes) {
      table += "  " + std::string(Name(static_cast<WorkKind>(i))) + " " + code +
               ": " + std::to_string(count) + "\n";
    }
  }
  const EntryCounters& entries = report.entries;
  table += Format(
      "work: offered %.1f slots, done %.1f slots\n"
      "entries: %.2f messages per start, %.2f %% wasted, %.0f us of processor "
      "time per start, %.0f hedges, %.0f in doubt, %.0f violations\n",
      report.offered_slots, report.work_done_slots,
      Ratio(entries.messages, entries.grants),
      100 * Ratio(entries.wasted, entries.messages),
      1e6 * Ratio(entries.cpu_seconds, entries.grants), entries.hedges,
      entries.in_doubt, entries.violations);
  table += report.IsAccountedFor() ? "all answers accounted for\n"
                                   : "NOT all answers accounted for\n";
  return table;
}

Json ToJson(const LoadReport& report) {
  Json kinds = Json::object();
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    const KindReport& kind = report.kinds[i];
    kinds[std::string(Name(static_cast<WorkKind>(i)))] = {
        {"sent", kind.sent},
        {"complete", kind.complete},
        {"not_run", kind.not_run},
        {"may_have_run", kind.may_have_run},
        {"ran_failed", kind.ran_failed},
        {"no_answer", kind.no_answer},
        {"mismatched", kind.mismatched},
        {"error_codes", kind.error_codes},
        {"ratio_p50", Quantile(kind.ratios, 0.5)},
        {"ratio_p99", Quantile(kind.ratios, 0.99)},
        {"overhead_p50_ms", Quantile(kind.overheads_ms, 0.5)},
        {"overhead_p99_ms", Quantile(kind.overheads_ms, 0.99)},
        {"overhead_max_ms", Quantile(kind.overheads_ms, 1)}};
  }
  const EntryCounters& entries = report.entries;
  return {
      {"kinds", std::move(kinds)},
      {"offered_slots", report.offered_slots},
      {"work_done_slots", report.work_done_slots},
      {"work_by_second", report.work_by_second},
      {"messages_per_start", Ratio(entries.messages, entries.grants)},
      {"wasted_fraction", Ratio(entries.wasted, entries.messages)},
      {"cpu_us_per_start", 1e6 * Ratio(entries.cpu_seconds, entries.grants)},
      {"hedges", entries.hedges},
      {"in_doubt", entries.in_doubt},
      {"violations", entries.violations},
      {"accounted_for", report.IsAccountedFor()}};
}

}  // namespace geranium
