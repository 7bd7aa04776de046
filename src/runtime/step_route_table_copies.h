#ifndef GERANIUM_RUNTIME_STEP_ROUTE_TABLE_COPIES_H_
#define GERANIUM_RUNTIME_STEP_ROUTE_TABLE_COPIES_H_

#include <functional>
#include <string>

#include "base/log_message.h"
#include "data_centre/route_follower.h"
#include "data_centre/route_table_copies.h"
#include "entry/step_entry_node.h"
#include "runtime/http_client.h"
#include "runtime/process_loop.h"

namespace geranium {

/// Makes the calls that an entry's RouteTableCopies decides on. Used on the
/// control thread.
class StepRouteTableCopies {
 public:
  struct Handlers {
    std::function<void(const LogMessage&)> log;
    /// The node has received a table.
    std::function<void()> on_table;
  };

  StepRouteTableCopies(int copies, std::string store_address, ProcessLoop& loop,
                       HttpClient& http, StepEntryNode& node,
                       const RouteFollower& follower, Handlers handlers);

  /// A changed table was read from the operator's log.
  void OnOperatorTable(const RouteTable& table, TimePoint now);
  /// Starts the calls that are due.
  void StartCalls(TimePoint now);

  const RouteTableCopyCounters& counters() const { return copies_.counters(); }

 private:
  RouteTableState State() const;
  void OnReply(const RouteTableCopyRequest& request,
               const HttpOutcome& outcome);
  void WriteLog();

  RouteTableCopies copies_;
  std::string store_address_;
  SystemClock clock_;
  ProcessLoop& loop_;
  HttpClient& http_;
  StepEntryNode& node_;
  const RouteFollower& follower_;
  Handlers handlers_;
};

}  // namespace geranium

#endif  // GERANIUM_RUNTIME_STEP_ROUTE_TABLE_COPIES_H_
