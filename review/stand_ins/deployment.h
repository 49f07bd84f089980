// A small deployment: a store, servers, and processes of the deploy file's
// role on loopback addresses of their own.

#ifndef CICADADRUM_REVIEW_STAND_INS_DEPLOYMENT_H_
#define CICADADRUM_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "server.h"
#include "store.h"

namespace cicadadrum::review {

// Values of the deployment that the cases share. They are those of the site
// file that the claims name.
constexpr milliseconds kStableWindow(4000);
constexpr milliseconds kGrace(6000);
constexpr double kMemoryMegabytes = 260;

// Where an entry VM runs.
struct VmPlace {
  std::string name;
  std::string region;
  std::string failure_domain;
};

// A route of the configuration.
struct RouteOptions {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 1200;
  int attempts = 2;
};

constexpr const char* kHost = "shares.example";

class Deployment {
 public:
  // Chooses free loopback addresses and writes to the record of the case.
  explicit Deployment(Record& record);
  // Ends all processes and removes the temporary folder.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Store& store() { return *store_; }
  // Returns a loopback address that only this deployment uses.
  std::string Ip(int number) const;

  void PutConfiguration(int version, const std::vector<RouteOptions>& routes);
  void AddServer(const std::string& service,
                 const std::string& failure_domain,
                 Server::Handler handler);
  const std::vector<std::unique_ptr<Server>>& servers() { return servers_; }
  // All runs of all servers, by time.
  std::vector<ServerRun> Runs();

  void AddVm(const VmPlace& place);
  std::string VmIp(std::size_t vm) const {
    return Ip(static_cast<int>(vm) + 1);
  }
  int front_port() const { return front_port_; }
  int directory_port() const { return front_port_ + 2; }
  // Starts a process of the role. Returns false if it can't be started.
  bool StartVm(std::size_t vm);
  bool IsVmRunning(std::size_t vm);
  void SignalVm(std::size_t vm, int signal);
  double VmMemoryMegabytes(std::size_t vm) const;
  double VmProcessorSeconds(std::size_t vm) const;
  // Waits until all VMs are ready and know each other.
  bool WaitUntilReady();

 private:
  struct Vm {
    VmPlace place;
    pid_t pid = -1;
  };

  void WriteSettings(std::size_t vm) const;
  bool IsReady(std::size_t vm) const;

  Record& record_;
  std::string folder_;
  std::string network_;  // First three numbers of the addresses, with a dot.
  int front_port_ = 0;
  std::string command_;  // Of the deploy file.
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<Vm> vms_;
};

// Returns a proper request of a caller.
Message MakeRequest(const std::string& method,
                    const std::string& target,
                    const std::string& id,
                    milliseconds deadline);

// Sends the request on a new connection and reads the answer until `deadline`.
Message Call(const std::string& ip,
             int port,
             const Message& request,
             milliseconds deadline);

}  // namespace cicadadrum::review

#endif  // CICADADRUM_REVIEW_STAND_INS_DEPLOYMENT_H_
