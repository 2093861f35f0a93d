#ifndef TOUCANDOCK_PROCESS_WORK_FOLDER_H_
#define TOUCANDOCK_PROCESS_WORK_FOLDER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "process/child_process.h"

namespace toucandock::process {

// Path of a program that this build produced.
std::string Program(const std::string& name);

// Returns an empty string if the file does not exist.
std::string ReadFile(const std::string& file);

// A temporary folder for the files and outputs of processes. The destructor
// removes it, unless Keep() was called or the environment variable
// TOUCANDOCK_KEEP_FOLDER is set.
class WorkFolder {
 public:
  WorkFolder();
  ~WorkFolder();

  WorkFolder(const WorkFolder&) = delete;
  WorkFolder& operator=(const WorkFolder&) = delete;

  std::string PathOf(const std::string& name) const;
  std::string WriteFile(const std::string& name, const std::string& text) const;
  // Keeps the files after the test, so that a failure can be examined.
  void Keep() { keep_ = true; }

  // Starts a stand-in and returns the address that it bound.
  std::string StartStandIn(const std::string& name,
                           const std::string& program,
                           const std::vector<std::string>& flags,
                           std::unique_ptr<ChildProcess>& process) const;
  // Starts a program that writes a line "PORT ADDRESS" for each of its ports to
  // the file NAME.addresses. Returns the addresses by port name.
  std::map<std::string, std::string> StartWithPorts(
      const std::string& name,
      const std::vector<std::string>& command,
      std::unique_ptr<ChildProcess>& process) const;

 private:
  std::string path_;
  bool keep_ = false;
};

}  // namespace toucandock::process

#endif  // TOUCANDOCK_PROCESS_WORK_FOLDER_H_
