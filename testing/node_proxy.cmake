hd_test(proxy_test hd_node)
