hd_test(distribution_test hd_control hd_node)
hd_test(minority_cut_test hd_control hd_node)
hd_test(silent_source_test hd_control hd_node)
