# The router program (node, daemon and their libraries) and the lab.
find_package(PkgConfig REQUIRED)
find_package(Protobuf REQUIRED)
find_package(spdlog REQUIRED)
find_package(CLI11 REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(LibXml2 REQUIRED)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_package(Boost REQUIRED)

set(generated_dir ${CMAKE_CURRENT_BINARY_DIR}/proto)
file(MAKE_DIRECTORY ${generated_dir})
foreach(name chat engine registry health resume)
  set(proto ${PROJECT_SOURCE_DIR}/proto/gannetcourse/v1/${name}.proto)
  add_custom_command(OUTPUT ${generated_dir}/gannetcourse/v1/${name}.pb.cc ${generated_dir}/gannetcourse/v1/${name}.pb.h
                     COMMAND protobuf::protoc --proto_path=${PROJECT_SOURCE_DIR}/proto --cpp_out=${generated_dir}
                             ${proto}
                     DEPENDS ${proto})
  list(APPEND messages ${generated_dir}/gannetcourse/v1/${name}.pb.cc)
endforeach()
add_library(gannetcourse_proto STATIC ${messages})
target_include_directories(gannetcourse_proto SYSTEM PUBLIC ${generated_dir})
target_link_libraries(gannetcourse_proto PUBLIC protobuf::libprotobuf)

gannetcourse_component(net SOURCES src/net/loop.cpp src/net/endpoint.cpp src/net/connection.cpp src/net/listener.cpp src/net/memory_budget.cpp LINK gannetcourse_policy Threads::Threads)
gannetcourse_component(http2 SOURCES src/http2/headers.cpp src/http2/session.cpp src/http2/session_callbacks.cpp LINK gannetcourse_net PkgConfig::NGHTTP2)
gannetcourse_component(grpc SOURCES src/grpc/protocol.cpp src/grpc/server.cpp src/grpc/server_connection.cpp
                                src/grpc/server_call.cpp src/grpc/channel.cpp src/grpc/channel_connection.cpp
                                src/grpc/client_call.cpp
                  LINK gannetcourse_http2)
gannetcourse_component(config SOURCES src/config/fault.cpp src/config/units.cpp src/config/xml.cpp src/config/settings.cpp src/config/settings_reader.cpp
                          src/config/settings_rules.cpp src/config/settings_difference.cpp src/config/reload.cpp
                  LINK gannetcourse_net LibXml2::LibXml2)
gannetcourse_component(resume SOURCES src/resume/seal.cpp LINK gannetcourse_config OpenSSL::Crypto)
gannetcourse_schema(gannetcourse_config ${PROJECT_SOURCE_DIR}/src/config/settings.xsd gannetcourse::config
                    settingsSchema)
gannetcourse_component(discovery SOURCES src/discovery/engine_list.cpp src/discovery/engine_list_file.cpp
                          src/discovery/engine_list_cache.cpp src/discovery/registry_watch.cpp
                  LINK gannetcourse_grpc gannetcourse_config gannetcourse_proto)
gannetcourse_schema(gannetcourse_discovery ${PROJECT_SOURCE_DIR}/src/discovery/fleet.xsd gannetcourse::discovery
                    engineListSchema)
gannetcourse_component(engines SOURCES src/engines/grpc_engine_transport.cpp src/engines/call_outcome.cpp LINK gannetcourse_router gannetcourse_discovery)
gannetcourse_component(frontend SOURCES src/frontend/chat_service.cpp src/frontend/chat_stream.cpp
                          src/frontend/request_validator.cpp src/frontend/resume_point.cpp src/frontend/health_service.cpp
                  LINK gannetcourse_router gannetcourse_grpc gannetcourse_resume gannetcourse_proto
                       PkgConfig::XXHASH)
gannetcourse_component(driver SOURCES src/node/core_driver.cpp src/node/engine_list_freshness.cpp LINK gannetcourse_router gannetcourse_net)
gannetcourse_component(node SOURCES src/node/node.cpp LINK gannetcourse_driver gannetcourse_engines gannetcourse_frontend)
gannetcourse_component(http1 SOURCES src/http1/parser.cpp src/http1/connection_state.cpp src/http1/server.cpp
                                src/http1/arrival_times.cpp src/http1/input_buffer.cpp src/http1/server_connection.cpp
                                src/http1/client.cpp src/http1/client_connection.cpp
                  LINK gannetcourse_net)
target_link_libraries(gannetcourse_http1 PRIVATE Boost::headers)
gannetcourse_component(platform SOURCES src/platform/configuration.cpp src/platform/json_stream_splitter.cpp
                                   src/platform/engine_list_message.cpp src/platform/discovery_watch.cpp
                                   src/platform/load_report.cpp src/platform/event_stream.cpp
                                   src/platform/engine_response.cpp src/platform/engine_attempt.cpp
                                   src/platform/release_dispatcher.cpp src/platform/engine_client.cpp
                                   src/platform/chat_request.cpp src/platform/frontend.cpp
                                   src/platform/node_statistics.cpp src/platform/process_memory.cpp
                                   src/platform/node.cpp
                  LINK gannetcourse_driver gannetcourse_http1 gannetcourse_instance)
gannetcourse_component(daemon SOURCES src/daemon/log.cpp src/daemon/node_command.cpp src/daemon/signal_watcher.cpp
                                 src/daemon/check_command.cpp src/daemon/platform_command.cpp
                                 src/daemon/configuration_reloader.cpp
                  LINK gannetcourse_node gannetcourse_platform spdlog::spdlog nlohmann_json::nlohmann_json)
gannetcourse_program(gannetcourse SOURCES src/daemon/main.cpp LINK gannetcourse_daemon CLI11::CLI11)
target_compile_definitions(gannetcourse PRIVATE GANNETCOURSE_VERSION="${PROJECT_VERSION}")
install(TARGETS gannetcourse)

if(NOT GANNETCOURSE_LAB)
  return()
endif()

# The lab: simulated engines and registry, load and audits. It is not linked into the router program.
gannetcourse_component(lab SOURCES lab/engine_model.cpp lab/ledger.cpp lab/fake_engine.cpp lab/fake_engine_calls.cpp lab/core_cost.cpp lab/fake_registry.cpp lab/scenario.cpp
                              lab/clients.cpp lab/fault_injector.cpp lab/node_process.cpp lab/seeded_fault.cpp lab/scenario_runner.cpp
                              lab/relay.cpp lab/bench.cpp lab/fault_search.cpp
                  LINK gannetcourse_node)
target_include_directories(gannetcourse_lab PUBLIC ${PROJECT_SOURCE_DIR}/lab)
gannetcourse_schema(gannetcourse_lab ${PROJECT_SOURCE_DIR}/lab/day.xsd gannetcourse::lab scenarioSchema)
gannetcourse_program(gannetcourse-lab SOURCES lab/main.cpp LINK gannetcourse_lab CLI11::CLI11)

# Makes system calls fail, for tests (linked) and for the processes of the soak test (LD_PRELOAD).
add_library(gannetcourse_fault_shim OBJECT soak/fault_shim.cpp)
set_target_properties(gannetcourse_fault_shim PROPERTIES POSITION_INDEPENDENT_CODE ON)
target_include_directories(gannetcourse_fault_shim PUBLIC ${PROJECT_SOURCE_DIR}/soak)
target_link_libraries(gannetcourse_fault_shim PUBLIC ${CMAKE_DL_LIBS})
gannetcourse_warnings(gannetcourse_fault_shim)
add_library(gannetcourse_fault_shim_preload SHARED $<TARGET_OBJECTS:gannetcourse_fault_shim>)
target_link_libraries(gannetcourse_fault_shim_preload PRIVATE ${CMAKE_DL_LIBS})
