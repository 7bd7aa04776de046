#include "runtime/metric_family_builder.h"

#include <sys/resource.h>

namespace geranium {
namespace {

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double MaxResidentBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) * 1024;
}

}  // namespace

void AddProcessMetrics(MetricFamilyBuilder& builder, const PeerLinks& links) {
  builder.Counter("process_cpu_seconds_total",
                  "CPU time of the process in seconds", CpuSeconds());
  builder.Gauge("process_resident_memory_max_bytes",
                "Maximum resident set size of the process in bytes",
                MaxResidentBytes());
  builder.Counter("geranium_link_frames_sent_total", "Frames sent to peers",
                  Count(links.frames_sent()));
  builder.Counter("geranium_links_overfull_total",
                  "Links reset because their peer did not read",
                  Count(links.overfull_links()));
  builder.Counter("geranium_links_evicted_total",
                  "Connections closed for newer ones before a valid frame",
                  Count(links.evicted_connections()));
  builder.Counter("geranium_link_frames_rejected_total",
                  "Frames that were malformed or could not be handled",
                  Count(links.frames_rejected()));
  builder.Counter("geranium_link_sent_bytes_total", "Bytes sent to peers",
                  Count(links.bytes_sent()));
}

}  // namespace geranium
