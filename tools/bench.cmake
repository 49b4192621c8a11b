add_executable(heatherdeck_bench bench_main.cc bench_fit.cc)
target_link_libraries(heatherdeck_bench PRIVATE hd_fleet hd_model hd_wire gflags)
