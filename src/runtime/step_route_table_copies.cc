#include "runtime/step_route_table_copies.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "platform/route_table_copy.h"

namespace geranium {

StepRouteTableCopies::StepRouteTableCopies(
    int copies, std::string store_address, ProcessLoop& loop, HttpClient& http,
    StepEntryNode& node, const RouteFollower& follower, Handlers handlers)
    : copies_(copies),
      store_address_(std::move(store_address)),
      loop_(loop),
      http_(http),
      node_(node),
      follower_(follower),
      handlers_(std::move(handlers)) {}

RouteTableState StepRouteTableCopies::State() const {
  return {node_.has_table(), node_.table().offset, node_.HasLowestIncarnation(),
          follower_.unreachable()};
}

void StepRouteTableCopies::OnOperatorTable(const RouteTable& table,
                                           TimePoint now) {
  copies_.OnOperatorTable(table, now);
}

void StepRouteTableCopies::StartCalls(TimePoint now) {
  for (RouteTableCopyRequest& request : copies_.TakeRequests(State(), now)) {
    boost::asio::post(loop_.traffic(), [this, request = std::move(request)] {
      http_.Start(platform::RouteTableCopyCall(store_address_, request),
                  [this, request](const HttpOutcome& outcome) {
                    boost::asio::post(loop_.control(),
                                      [this, request, outcome] {
                                        OnReply(request, outcome);
                                      });
                  });
    });
  }
  WriteLog();
}

void StepRouteTableCopies::OnReply(const RouteTableCopyRequest& request,
                                   const HttpOutcome& outcome) {
  const TimePoint now = clock_.Now();
  if (request.kind == RouteTableCopyRequest::Kind::kWrite) {
    copies_.OnWritten(request.partition,
                      platform::ReadCopyWritten(store_address_, outcome), now);
  } else if (const auto table = copies_.OnRead(
                 request.partition, platform::ReadCopy(store_address_, outcome),
                 State())) {
    node_.OnRouteTable(
        *table, "copy in partition " + std::to_string(request.partition), now);
    handlers_.on_table();
  }
  WriteLog();
}

void StepRouteTableCopies::WriteLog() {
  for (const LogMessage& message : copies_.TakeLogMessages()) {
    handlers_.log(message);
  }
}

}  // namespace geranium
