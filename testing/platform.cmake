hd_test(dialect_test hd_platform)
