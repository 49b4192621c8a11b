/// @file
/// Another node of the mesh whose answers a test writes itself, with real HTTP/2 connections and no proxy.
///
///     scripted_peer peer([](incoming_stream incoming) -> awaitable<void> { ... });   // answers one call
///     first.choice.local = false;
///     first.choice.mesh_address = peer.address();
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "kernel/kernel.h"
#include "model/service_names.h"
#include "wire/mesh_service.h"

namespace heatherdeck {

/// Passes each call that arrives to the script.
class scripted_receiver : public service {
 public:
  using call_script = std::function<awaitable<void>(incoming_stream)>;

  explicit scripted_receiver(call_script script) : script_(std::move(script)) {}

  std::string_view name() const override { return to_name(service_name::proxy); }
  void publish(kernel& k) override {
    inbox_ = std::make_unique<mailbox<incoming_stream>>(k.executor(), 64);
    k.publish(name(), inbox_->address());
  }
  result<void> start(kernel& k) override {
    boost::asio::co_spawn(k.executor(), serve(k), boost::asio::detached);
    return {};
  }
  void stop() override { inbox_->close(); }
  boost::json::value dump() const override { return nullptr; }

 private:
  awaitable<void> serve(kernel& k) {
    while (true) {
      auto incoming = co_await inbox_->receive();
      if (!incoming) co_return;
      boost::asio::co_spawn(k.executor(), script_(std::move(*incoming)), boost::asio::detached);
    }
  }

  std::unique_ptr<mailbox<incoming_stream>> inbox_;
  call_script script_;
};

/// Runs on its own thread until it is destroyed.
class scripted_peer {
 public:
  explicit scripted_peer(scripted_receiver::call_script script) {
    settings s;
    s.id = "dar-1-02";
    s.mesh_listen = "127.0.0.1:0";
    s.mesh_key = "key of the test";
    auto made = std::move(*mesh_service::make(s));
    const mesh_service* mesh = made.get();
    EXPECT_TRUE(k_.add(std::make_unique<scripted_receiver>(std::move(script))));
    EXPECT_TRUE(k_.add(std::move(made)));
    EXPECT_TRUE(capture([this] { return k_.start(); }));
    address_ = "127.0.0.1:" + std::to_string(mesh->port());
    thread_ = std::thread([this] { k_.io().run(); });
  }
  scripted_peer(const scripted_peer&) = delete;
  scripted_peer& operator=(const scripted_peer&) = delete;
  ~scripted_peer() {
    k_.io().stop();
    thread_.join();
  }

  const std::string& address() const { return address_; }

 private:
  kernel k_;
  std::string address_;
  std::thread thread_;
};

}  // namespace heatherdeck
