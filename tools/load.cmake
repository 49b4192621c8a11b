add_executable(heatherdeck_load load_main.cc load_service.cc load_report.cc)
target_link_libraries(heatherdeck_load PRIVATE hd_wire gflags)
