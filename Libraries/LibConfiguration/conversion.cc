// Conversion between the generated schema types and the plain structs of
// LibModel.

#include "conversion.h"

namespace cicadadrum {

namespace {

// A cast converts between the two enumerations, so both must list the classes
// in the same order.
static_assert(static_cast<int>(schema::RequestClass::BULK) ==
              static_cast<int>(RequestClass::kBulk));
static_assert(static_cast<int>(schema::RequestClass::WRITE) ==
              static_cast<int>(RequestClass::kWrite));

std::vector<std::string> ReadStrings(capnp::List<capnp::Text>::Reader source) {
  std::vector<std::string> texts;
  for (const auto text : source)
    texts.emplace_back(text.cStr());
  return texts;
}

std::vector<RequestClass> ReadClasses(
    capnp::List<schema::RequestClass>::Reader source) {
  std::vector<RequestClass> classes;
  for (const auto request_class : source)
    classes.push_back(static_cast<RequestClass>(request_class));
  return classes;
}

template <typename Builder>
void WriteStrings(const std::vector<std::string>& texts, Builder target) {
  for (std::size_t i = 0; i < texts.size(); ++i)
    target.set(static_cast<unsigned>(i), texts[i]);
}

unsigned ListSize(std::size_t size) {
  return static_cast<unsigned>(size);
}

void WritePlan(const Plan& plan, schema::Plan::Builder target) {
  target.setName(plan.name);
  WriteStrings(plan.services,
               target.initServices(ListSize(plan.services.size())));
  WriteStrings(plan.regions, target.initRegions(ListSize(plan.regions.size())));
  auto classes = target.initClasses(ListSize(plan.classes.size()));
  for (unsigned i = 0; i < classes.size(); ++i)
    classes.set(i, static_cast<schema::RequestClass>(plan.classes[i]));
  target.setRequestsPerSecond(plan.requests_per_second);
  target.setConcurrency(plan.concurrency);
  target.setMaxBodyBytes(plan.max_body_bytes);
}

}  // namespace

Deployment ReadDeployment(schema::Deployment::Reader source) {
  Deployment deployment;
  deployment.name = source.getName();
  for (const auto region : source.getRegions())
    deployment.regions.push_back(
        {region.getName(), ReadStrings(region.getFailureDomains())});
  for (const auto service : source.getServices())
    deployment.services.push_back(
        {service.getName(), ReadClasses(service.getClasses())});
  for (const auto entry : source.getEntries()) {
    deployment.entries.push_back(
        {entry.getName(), entry.getRegion(), entry.getFailureDomain(),
         entry.getCallerAddress(), entry.getPeerAddress()});
  }
  deployment.link_megabits_per_second = source.getLinkMegabitsPerSecond();
  deployment.region_delay = Microseconds(source.getRegionDelayMicroseconds());
  deployment.domain_delay = Microseconds(source.getDomainDelayMicroseconds());
  deployment.shift_cap_percent = source.getShiftCapPercent();
  deployment.shift_window = Seconds(source.getShiftWindowSeconds());
  deployment.platform_address = source.getPlatformAddress();
  return deployment;
}

Configuration ReadConfiguration(schema::Configuration::Reader source) {
  Configuration configuration;
  for (const auto client_account : source.getClientAccounts())
    configuration.client_accounts.push_back(
        {client_account.getName(), client_account.getPlan()});
  for (const auto plan : source.getPlans()) {
    configuration.plans.push_back(
        {plan.getName(), ReadStrings(plan.getServices()),
         ReadClasses(plan.getClasses()), ReadStrings(plan.getRegions()),
         plan.getRequestsPerSecond(), plan.getConcurrency(),
         plan.getMaxBodyBytes()});
  }
  return configuration;
}

void WriteConfiguration(const Configuration& configuration,
                        schema::Configuration::Builder target) {
  auto client_accounts =
      target.initClientAccounts(ListSize(configuration.client_accounts.size()));
  for (unsigned i = 0; i < client_accounts.size(); ++i) {
    client_accounts[i].setName(configuration.client_accounts[i].name);
    client_accounts[i].setPlan(configuration.client_accounts[i].plan);
  }
  auto plans = target.initPlans(ListSize(configuration.plans.size()));
  for (unsigned i = 0; i < plans.size(); ++i)
    WritePlan(configuration.plans[i], plans[i]);
}

}  // namespace cicadadrum
