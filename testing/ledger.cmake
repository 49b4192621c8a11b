hd_test(yaml_reader_test hd_model)
