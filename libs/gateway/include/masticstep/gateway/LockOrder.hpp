#pragma once

// Order in which a thread may hold the locks of the shared tables, outermost first:
//
//   configuration snapshot, membership, spread, admission, routing, retry, orders, telemetry
//
// A thread that holds the lock of one table may acquire only the lock of a later one. No lock is
// held across I/O or a co_await, and each decision on the data path holds one lock. Each table is
// behind one class that keeps its mutex private and returns values:
//
//   configuration snapshot  ConfigurationHolder
//   membership, spread      peering
//   admission               AdmissionController
//   routing                 RouterSelector
//   retry                   RetryDecider
//   orders                  order_service
//   telemetry               telemetry::Metrics
//
// The registries of connections and running requests (net::HttpServer, net::ConnectionPool,
// RunningRequests) hold their mutex for their own member functions only and call nothing that
// locks.
