hd_test(proxy_test hd_node)
hd_test(exchange_core_test hd_node)
hd_test(announcement_test hd_node)
hd_test(proxy_fault_test hd_node)
