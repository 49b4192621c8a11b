hd_test(traffic_core_test hd_traffic)
