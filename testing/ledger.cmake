hd_test(yaml_reader_test hd_model)
hd_test(document_test hd_model)
hd_test(operator_signature_test hd_model)
hd_test(ledger_test hd_control)
