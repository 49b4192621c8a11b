hd_test(settings_test hd_model)
target_compile_definitions(settings_test PRIVATE HD_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
hd_test(request_fingerprint_test hd_model)
hd_test(accounts_test hd_control)
