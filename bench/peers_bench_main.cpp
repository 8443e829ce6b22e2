// Measures the memory and time that one daemon's tables take at the target size of a mesh, and prints CSV.

#include "peers/message_codec.h"
#include "peers/peer_node.h"

#include <absl/random/random.h>
#include <absl/time/time.h>
#include <fmt/format.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace amaranthladder;

constexpr int workers = 12'000;
constexpr int services = 2'200;
constexpr int updates = 1'000;

std::string address(int worker) {
    return fmt::format("10.{}.{}.{}", worker / 65'536, worker / 256 % 256, worker % 256);
}

member make_member(int worker) {
    return {{address(worker), 7000},
            {address(worker), 8080},
            fmt::format("dc-{}", worker % 13),
            member_state::alive,
            1'700'000'000'000ULL};
}

upstream_record make_upstream(int worker, std::uint64_t sequence) {
    upstream_record out;
    out.id = fmt::format("worker-{}", worker);
    out.service = fmt::format("service-{}", worker % services);
    out.version = "2026.12.4-1";
    out.data_center = fmt::format("dc-{}", worker % 13);
    out.owner = {address(worker), 8080};
    out.address = {address(worker), 9000};
    out.slots = 6;
    out.incarnation = 1'700'000'000'000ULL;
    out.sequence = sequence;
    return out;
}

std::size_t allocated_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Runs @p operation @p count times and prints the median and the longest time.
template <typename Operation> void print_times(const char* name, int count, Operation&& operation) {
    std::vector<double> milliseconds;
    for (int run = 0; run < count; ++run) {
        const auto start = std::chrono::steady_clock::now();
        operation(run);
        milliseconds.push_back(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    fmt::print("{},median,{:.4f},ms\n{},longest,{:.4f},ms\n", name, milliseconds[milliseconds.size() / 2], name,
               milliseconds.back());
}

void run() {
    absl::Time now = absl::FromUnixSeconds(1'800'000'000);
    absl::BitGen random;
    peer_settings settings;
    settings.mesh = "bench";
    settings.address = {"10.200.0.1", 7000};
    settings.http_address = {"10.200.0.1", 8080};
    opaque_rules rules;
    rules.merge = [](const std::string&, const std::string& held, const std::string& heard) {
        return std::max(held, heard);
    };

    std::vector<table_record> records;
    records.reserve(std::size_t{2} * workers);
    for (int worker = 0; worker < workers; ++worker) {
        records.push_back({table_id::members, message_codec::encode(make_member(worker)), 0});
    }
    for (int worker = 0; worker < workers; ++worker) {
        records.push_back({table_id::upstreams, message_codec::encode(make_upstream(worker, 1)), 0});
    }

    fmt::print("measurement,statistic,value,unit\n");
    const std::size_t bytes_before = allocated_bytes();
    peer_node node(settings, rules, now);
    print_times("absorb_whole_tables", 1, [&](int) { node.merge_records(records, now); });
    const node_output changes = node.tick(now, random);
    fmt::print("memory,tables and queued changes,{:.1f},MB\n",
               static_cast<double>(allocated_bytes() - bytes_before) / 1e6);
    fmt::print("records,upstreams,{},\n", changes.upstreams.size());

    print_times("apply_update", updates, [&](int run) {
        node.merge_records({{table_id::upstreams, message_codec::encode(make_upstream(run, 2)), 0}}, now);
    });
    print_times("usable_upstreams", updates, [&](int run) {
        if (node.usable_upstreams(fmt::format("service-{}", run)).empty()) {
            fmt::print("usable_upstreams,missing,{},\n", run);
        }
    });
    print_times("tick", 2'000, [&](int) {
        now += absl::Milliseconds(50);
        node.tick(now, random);
    });
    datagram ping;
    ping.sender = make_member(1);
    const std::string bytes = message_codec::encode(ping, message_codec::mesh_hash("bench"));
    print_times("receive_ping", updates, [&](int) { node.receive(bytes, now, random); });
    print_times("offer_and_compare", 100, [&](int) { node.compare(node.make_offer({{}, {true, true, true}})); });
}

} // namespace

int main() {
    try {
        run();
        return 0;
    } catch (const std::exception& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return 1;
    }
}
