#pragma once

// Lock order of the shared tables, outermost first:
//
//   configuration snapshot, membership, spread, admission, routing, retry, orders, telemetry
//
// A thread that holds the lock of a table may only acquire locks of later tables. No lock is held
// across I/O or a co_await, and each decision on the data path takes a single lock. Each table is
// owned by one class, which keeps its mutex private and returns results by value:

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
// RunningRequests) hold their mutex only within their own member functions and acquire no other
// lock meanwhile.
