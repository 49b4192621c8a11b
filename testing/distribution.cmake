hd_test(distribution_test hd_control hd_node)
