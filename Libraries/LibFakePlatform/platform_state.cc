// Table, VM list and simulated faults of the platform's test double.

#include "cicadadrum/fake_platform/platform_state.h"

namespace cicadadrum {

namespace {

std::vector<Row> FindFailedChecks(const PlatformState& state,
                                  const Transaction& transaction) {
  std::vector<Row> failed;
  for (const RowCheck& check : transaction.checks) {
    const Row row = ReadRow(state, check.key);
    if (row.version != check.version)
      failed.push_back(row);
  }
  return failed;
}

void ApplyWrite(PlatformState& state,
                const RowWrite& write,
                TransactionAnswer& answer) {
  Row row = ReadRow(state, write.key);
  if (write.check && row.version != write.check_version) {
    answer.failed.push_back(row);
    return;
  }
  row.value = write.value;
  ++row.version;
  ++state.rows_written;
  state.rows[write.key] = row;
  answer.rows.push_back(row);
}

void StoreAnswer(PlatformState& state,
                 const std::string& token,
                 const TransactionAnswer& answer) {
  if (token.empty())
    return;
  state.answers_by_token[token] = answer;
  state.token_order.push_back(token);
  if (state.token_order.size() <= kMaxStoredAnswers)
    return;
  state.answers_by_token.erase(state.token_order.front());
  state.token_order.pop_front();
}

}  // namespace

TransactionAnswer ApplyTransaction(PlatformState& state,
                                   const Transaction& transaction) {
  ++state.writes;
  const auto recorded = state.answers_by_token.find(transaction.token);
  if (recorded != state.answers_by_token.end())
    return recorded->second;
  TransactionAnswer answer{.rows = FindFailedChecks(state, transaction)};
  answer.committed = answer.rows.empty();
  if (answer.committed) {
    for (const RowWrite& write : transaction.writes)
      ApplyWrite(state, write, answer);
  }
  StoreAnswer(state, transaction.token, answer);
  return answer;
}

Row ReadRow(const PlatformState& state, const std::string& key) {
  const auto found = state.rows.find(key);
  return found == state.rows.end() ? Row{.key = key} : found->second;
}

std::vector<Row> ScanRows(const PlatformState& state,
                          const std::string& prefix) {
  std::vector<Row> rows;
  for (auto row = state.rows.lower_bound(prefix);
       row != state.rows.end() && row->first.starts_with(prefix); ++row)
    rows.push_back(row->second);
  return rows;
}

const std::vector<BackendServer>& ListVms(PlatformState& state, TimePoint now) {
  while (!state.pending_vms.empty() &&
         state.pending_vms.front().served_from <= now) {
    state.vms = std::move(state.pending_vms.front().vms);
    state.pending_vms.pop_front();
  }
  return state.vms;
}

void ApplyControl(PlatformState& state,
                  const PlatformControl& control,
                  TimePoint now) {
  state.control = control;
  if (control.set_vms)
    state.pending_vms.push_back({now + state.vm_list_lag, control.vms});
}

PlatformMode ConsumeMode(PlatformState& state) {
  PlatformControl& control = state.control;
  const PlatformMode mode = control.mode;
  if (control.requests > 0 && --control.requests == 0)
    control.mode = PlatformMode::kUp;
  return mode;
}

std::string FormatMetrics(const PlatformState& state) {
  return "platform_reads_total " + std::to_string(state.reads) +
         "\nplatform_writes_total " + std::to_string(state.writes) +
         "\nplatform_rows_written_total " + std::to_string(state.rows_written) +
         "\nplatform_rows " + std::to_string(state.rows.size()) +
         "\nplatform_connections_total " +
         std::to_string(state.caller_addresses.size()) + "\n";
}

}  // namespace cicadadrum
