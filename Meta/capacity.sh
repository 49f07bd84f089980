#!/usr/bin/env bash
# Computes the figures of docs/CAPACITY.md from docs/capacity-inputs.tsv by fitting a least-squares line to the inputs of
# each quantity, and writes the figures between the markers of the page. With --check, the script compares the page with
# the computed figures and changes nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/CAPACITY.md

figures() {
  awk -F'\t' '
    /^#/ || NF < 4 { next }
    { q = $1; if (!(q in n)) order[++count] = q; unit[q] = $2
      n[q]++; x[q] += $3; y[q] += $4; xx[q] += $3 * $3; xy[q] += $3 * $4 }
    function slope(q) { return (n[q] * xy[q] - x[q] * y[q]) / (n[q] * xx[q] - x[q] * x[q]) }
    function at(q, size) {
      if (!(q in n)) { print "no inputs for " q > "/dev/stderr"; exit 1 }
      return (y[q] - slope(q) * x[q]) / n[q] + slope(q) * size
    }
    function show(value) {
      if (value == "–") return value
      return sprintf(value >= 100 ? "%.0f" : "%.3g", value)
    }
    function row(name, mechanism, today, full, unit, budget, limit) {
      printf "| %s | %s | %s | %s | %s | %s | %s |\n", name, show(today), show(full), unit, budget,
        limit == "" ? "–" : (full <= limit ? "met" : "NOT MET"), mechanism
    }
    END {
      print "| quantity | 9 nodes | 1,600 nodes | unit | budget | at 1,600 | mechanism |"
      print "|---|---|---|---|---|---|---|"
      row("membership and items, traffic", "one probe a second, digests, deltas only on a difference", at("fleet_bytes", 9), at("fleet_bytes", 1600), "B/s a node", "5 KB/s", 5000)
      row("membership and items, messages", "the same", at("fleet_messages", 9), at("fleet_messages", 1600), "messages/s a node", "–", "")
      row("membership and items, processor", "the same; without sockets and RPC", at("fleet_cpu", 9), at("fleet_cpu", 1600), "% of a core", "2.8%", 2.8)
      row("whole entry process at rest, processor", "timers, load reports, membership over RPC", mean("idle_cpu"), mean("idle_cpu") + at("fleet_cpu", 1600) - at("fleet_cpu", 9), "% of a core", "2.8%", 2.8)
      row("member table and items", "records and digests", at("fleet_memory", 9), at("fleet_memory", 1600), "MB a node", "–", "")
      row("table of 3,000,000 client blocks", "pages with copy on write", at("table_memory", 3e6), at("table_memory", 3e6), "MB a node", "–", "")
      both = at("fleet_memory", 1600) + at("table_memory", 3e6)
      row("control state together", "the two above", at("fleet_memory", 9) + at("table_memory", 3e6), both, "MB a node", "32 MB", 32)
      row("change in force everywhere, 2% loss", "push to 3 peers, then digests", at("spread_lossy", 9), at("spread_lossy", 1600), "s", "6 s", 6)
      row("reads of the version row, all nodes", "two readers a region", at("store_reads", 9), at("store_reads", 1600), "reads/s", "667/s", 667)
      row("reads when all nodes restart", "the same, spread over 2 s", at("storm_reads", 9), at("storm_reads", 1600), "reads/s", "667/s", 667)
      row("ready after the store is back", "bodies from peers first", at("storm_ready", 9), at("storm_ready", 1600), "s", "–", "")
      row("dead node held dead everywhere", "probes, indirect probes, suspicion", at("detection", 9), at("detection", 1600), "s, longest", "–", "")
      row("VM list reads, all nodes", "each node reads the whole list every 5 s", 9 / 5, 1600 / 5, "reads/s", "667/s", 667)
      servers = 180 * 40; list = servers * 200 / 5
      row("VM list, traffic a node", "the same; 180 sites of 40 servers, 200 B each (assumed)", 40 * 200 / 5, list, "B/s", "5 KB/s", 5000)
      row("claim transactions, all nodes", "one in flight a node, at most 40/s a node by policy", 9 * 40, 1600 * 40, "writes/s", "400/s", 400)
      row("look-ups, processor", "JSON over HTTP; data path, not control", 620000 / 1600 * lookup_us(9) / 1e4, 620000 / 1600 * lookup_us(1600) / 1e4, "% of a core", "–", "")
      peak = 620000 / 800 + 3e6 / 11 / 10 / (1600 / 11)
      row("look-ups at the peak, processor", "half the fleet gone and one region asks again within 10 s", "–", peak * lookup_us(1600) / 1e4, "% of a core", "100%", 100)
      share = 2 * at("detection", 1600) / 86400 / 1600 * 1e6
      row("callers whose first attempt fails: dead VMs", "2 VMs a day; the next ranked entry VM answers at once", "–", share, "in a million, mean", "–", "")
      domain = at("detection", 1600) / (61 * 86400) / 39 * 1e6
      row("the same: a failure domain every 61 days", "the same", "–", domain, "in a million, mean", "–", "")
    }
    function mean(q) {
      if (!(q in n)) { print "no inputs for " q > "/dev/stderr"; exit 1 }
      return y[q] / n[q]
    }
    function lookup_us(size) { return mean("http_lookup") }
  ' docs/capacity-inputs.tsv
}

present() { sed -n '/<!-- figures -->/,/<!-- end of figures -->/p' "$page" | sed '1d;$d'; }

if [ "${1:-}" = --check ]; then
  diff <(present) <(figures) || { echo "docs/CAPACITY.md differs from its inputs; run Meta/capacity.sh" >&2; exit 1; }
  exit
fi
figures > "$page.figures"
sed -i -e '/<!-- figures -->/,/<!-- end of figures -->/{/<!-- figures -->/{p;r '"$page.figures"'
};/<!-- end of figures -->/p;d}' "$page"
rm "$page.figures"
