#ifndef GERANIUM_TESTS_PROCESS_PROCESS_GROUP_H_
#define GERANIUM_TESTS_PROCESS_PROCESS_GROUP_H_

#include <sys/types.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace geranium::process {

/// Programs that a test has started, by name. Ends them when it goes away.
class ProcessGroup {
 public:
  /// `port` tells the groups' log files apart.
  explicit ProcessGroup(int port) : port_(port) {}
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  void Spawn(const std::string& name,
             const std::vector<std::string>& arguments);
  void Signal(const std::string& name, int signal);
  bool HasExited(const std::string& name) const;
  /// The exit status; -1 if a signal ended it.
  int AwaitExit(const std::string& name);

 private:
  int port_;
  std::map<std::string, pid_t> processes_;
  std::set<std::string> spawned_;
};

/// The path of a program that was built.
std::string Program(const std::string& name);
/// Runs a program to its end; its exit status.
int RunProgram(const std::vector<std::string>& arguments);

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_PROCESS_GROUP_H_
